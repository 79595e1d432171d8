package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * In-process peer network for tests and benchmarks in virtual time. Simulates latency, message loss and one-way
 * partitions, and counts the bytes that HTTP with JSON would transfer. Confined to one thread.
 */
public final class SimulatedPeerNetwork {
    /** Request line without the path, and the host and content-length headers as the HTTP client writes them. */
    private static final int REQUEST_HEAD_BYTES = 68;
    /** Status line, content-type and content-length headers. */
    private static final int RESPONSE_HEAD_BYTES = 72;

    private final TimerService timers;
    private final Random random;
    private final Duration latency;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Set<String> blockedDirections = new HashSet<>();
    private double lossFraction;

    public SimulatedPeerNetwork(TimerService timers, Random random, Duration latency) {
        this.timers = timers;
        this.random = random;
        this.latency = latency;
    }

    /** Adds a member and returns its endpoint. */
    public Endpoint endpoint(String incarnation) {
        Endpoint endpoint = new Endpoint(incarnation);
        endpoints.put(incarnation, endpoint);
        return endpoint;
    }

    /** Removes a member; calls to it then time out. */
    public void remove(String incarnation) {
        endpoints.remove(incarnation);
    }

    /** Sets the probability with which each request or response is lost. */
    public void setLossFraction(double newLossFraction) {
        lossFraction = newLossFraction;
    }

    /** Drops all messages from one member to another. */
    public void block(String from, String to) {
        blockedDirections.add(from + ">" + to);
    }

    /** Removes all blocks. */
    public void unblockAll() {
        blockedDirections.clear();
    }

    private Completable deliver(String from, String to) {
        return Completable.defer(() -> {
            boolean lost = blockedDirections.contains(from + ">" + to)
                    || !endpoints.containsKey(to)
                    || !endpoints.containsKey(from)
                    || random.nextDouble() < lossFraction;
            return lost ? Completable.never() : timers.after(latency);
        });
    }

    /** Endpoint of one member. */
    public final class Endpoint implements PeerTransport, PeerHandlerRegistry {
        private final String incarnation;
        private final Map<String, Handler<?>> handlers = new HashMap<>();
        private long bytes;
        private long messages;

        private Endpoint(String incarnation) {
            this.incarnation = incarnation;
        }

        @Override
        public <T> void addHandler(String path, Class<T> messageType, Function<T, Single<?>> handler) {
            handlers.put(path, new Handler<>(messageType, handler));
        }

        @Override
        public <T> Single<T> call(Member peer, String path, Object message, Class<T> responseType, Duration timeout) {
            return Single.defer(() -> {
                        String request = Codec.json().write(message);
                        countMessage(REQUEST_HEAD_BYTES + path.length() + request.length());
                        return deliver(incarnation, peer.incarnation())
                                .andThen(Single.defer(
                                        () -> endpoints.get(peer.incarnation()).handleCall(path, request)))
                                .flatMap(response ->
                                        deliver(peer.incarnation(), incarnation).andThen(Single.just(response)))
                                .map(response -> {
                                    countMessage(RESPONSE_HEAD_BYTES + response.length());
                                    return Codec.json().read(response, responseType, path);
                                });
                    })
                    .timeout(timeout.toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                    .onErrorResumeNext(cause -> Single.error(new FireflywalkException(
                            ErrorKind.TARGET_FAILED, "peer call failed: " + cause, peer.instance() + path, cause)));
        }

        /** Returns the number of bytes sent and received. */
        public long bytes() {
            return bytes;
        }

        /** Returns the number of messages sent and received. */
        public long messages() {
            return messages;
        }

        private Single<String> handleCall(String path, String request) {
            countMessage(REQUEST_HEAD_BYTES + path.length() + request.length());
            return Single.defer(() -> handlers.get(path).handle(request, path)).map(response -> {
                countMessage(RESPONSE_HEAD_BYTES + response.length());
                return response;
            });
        }

        private void countMessage(int messageBytes) {
            bytes += messageBytes;
            messages++;
        }
    }

    private record Handler<T>(Class<T> messageType, Function<T, Single<?>> handler) {
        private Single<String> handle(String request, String path) throws FireflywalkException {
            return handler.apply(Codec.json().read(request, messageType, path))
                    .map(response -> Codec.json().write(response));
        }
    }
}
