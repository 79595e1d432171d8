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
 * Peer calls inside one process, for tests and measurements in virtual time: with latency, loss, blocked directions and
 * a count of the bytes that HTTP with JSON would carry. Confined to one thread.
 */
public final class SimulatedPeerNetwork {
    /** Request line, host and content-length headers as the HTTP client writes them, without the path. */
    private static final int REQUEST_HEAD_BYTES = 68;
    /** Status line, content-type and content-length headers. */
    private static final int RESPONSE_HEAD_BYTES = 72;

    private final TimerService timers;
    private final Random random;
    private final Duration latency;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Set<String> blocked = new HashSet<>();
    private double lossFraction;

    public SimulatedPeerNetwork(TimerService timers, Random random, Duration latency) {
        this.timers = timers;
        this.random = random;
        this.latency = latency;
    }

    /** Adds a member and returns its end of the network. */
    public Endpoint endpoint(String incarnation) {
        Endpoint endpoint = new Endpoint(incarnation);
        endpoints.put(incarnation, endpoint);
        return endpoint;
    }

    /** Removes a member; calls to it get no answer any more. */
    public void remove(String incarnation) {
        endpoints.remove(incarnation);
    }

    /** Loses each message, request or answer, with the probability. */
    public void setLossFraction(double newLossFraction) {
        lossFraction = newLossFraction;
    }

    /** Loses all messages from one member to another. */
    public void block(String from, String to) {
        blocked.add(from + ">" + to);
    }

    /** Ends all blocks. */
    public void unblockAll() {
        blocked.clear();
    }

    private Completable travel(String from, String to) {
        return Completable.defer(() -> {
            boolean lost = blocked.contains(from + ">" + to)
                    || !endpoints.containsKey(to)
                    || !endpoints.containsKey(from)
                    || random.nextDouble() < lossFraction;
            return lost ? Completable.never() : timers.after(latency);
        });
    }

    /** One member's end of the network. */
    public final class Endpoint implements PeerTransport, PeerCalls {
        private final String incarnation;
        private final Map<String, Handler<?>> handlers = new HashMap<>();
        private long bytes;
        private long messages;

        private Endpoint(String incarnation) {
            this.incarnation = incarnation;
        }

        @Override
        public <T> void addCall(String path, Class<T> messageType, Function<T, Single<?>> handler) {
            handlers.put(path, new Handler<>(messageType, handler));
        }

        @Override
        public <T> Single<T> call(Member peer, String path, Object message, Class<T> answerType, Duration deadline) {
            return Single.defer(() -> {
                        String request = Codec.json().write(message);
                        count(REQUEST_HEAD_BYTES + path.length() + request.length());
                        return travel(incarnation, peer.incarnation())
                                .andThen(Single.defer(
                                        () -> endpoints.get(peer.incarnation()).serve(path, request)))
                                .flatMap(answer ->
                                        travel(peer.incarnation(), incarnation).andThen(Single.just(answer)))
                                .map(answer -> {
                                    count(RESPONSE_HEAD_BYTES + answer.length());
                                    return Codec.json().read(answer, answerType, path);
                                });
                    })
                    .timeout(deadline.toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                    .onErrorResumeNext(cause -> Single.error(new FireflywalkException(
                            ErrorKind.TARGET_FAILED, "peer call failed: " + cause, peer.instance() + path, cause)));
        }

        /** Returns the bytes sent and received so far. */
        public long bytes() {
            return bytes;
        }

        /** Returns the messages sent and received so far. */
        public long messages() {
            return messages;
        }

        private Single<String> serve(String path, String request) {
            count(REQUEST_HEAD_BYTES + path.length() + request.length());
            return Single.defer(() -> handlers.get(path).handle(request, path)).map(answer -> {
                count(RESPONSE_HEAD_BYTES + answer.length());
                return answer;
            });
        }

        private void count(int size) {
            bytes += size;
            messages++;
        }
    }

    private record Handler<T>(Class<T> messageType, Function<T, Single<?>> handler) {
        private Single<String> handle(String request, String path) throws FireflywalkException {
            return handler.apply(Codec.json().read(request, messageType, path))
                    .map(answer -> Codec.json().write(answer));
        }
    }
}
