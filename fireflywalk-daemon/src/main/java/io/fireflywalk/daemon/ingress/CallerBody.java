package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.BodyMemory;
import io.fireflywalk.core.ingress.BodyMemory.Reservation;
import io.fireflywalk.core.ingress.BodyMemory.State;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Body of a request: reads it once it has room in the memory for bodies, and pauses its caller until then. Confined to
 * one event loop.
 */
final class CallerBody {
    private static final String LOCATION = "ingress";
    /** Fraction of the time of a request for which its body may wait; the rest is for reading and forwarding it. */
    private static final int WAITING_TIME_DIVISOR = 2;
    /** Time for the rest of a body that had no room, after which its connection is closed. */
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(5);

    private final IngressContext context;
    private final HttpServerRequest request;
    private final CallerConnection connection;
    private Buffer content = Buffer.buffer();
    private Optional<Reservation> reservation = Optional.empty();
    private Disposable timer = Disposable.disposed();
    private int maximumBytes;
    private Runnable onComplete = () -> {};
    private Consumer<FireflywalkException> onRejected = ignored -> {};
    private boolean ended;

    CallerBody(IngressContext context, HttpServerRequest request, CallerConnection connection) {
        this.context = context;
        this.request = request;
        this.connection = connection;
    }

    /** Reads the body, then runs {@code complete}, or {@code rejected} as soon as it is known that it cannot be taken. */
    void read(
            CallerExchange caller,
            int limit,
            Optional<String> account,
            Duration timeout,
            Runnable complete,
            Consumer<FireflywalkException> rejected) {
        maximumBytes = limit;
        onComplete = complete;
        onRejected = rejected;
        long length = statedLength();
        long now = context.timers().monotonicNanoseconds();
        BodyMemory memory = context.bodyMemory();
        if (length < 0 || length > limit) {
            reservation = Optional.of(memory.open(account, now));
            startReading(timeout.minus(caller.elapsed()));
            return;
        }
        Duration maximumWait = timeout.dividedBy(WAITING_TIME_DIVISOR);
        Reservation reserved = memory.reserve(
                account, length, maximumWait, now, () -> onGranted((int) length, timeout.minus(caller.elapsed())));
        reservation = Optional.of(reserved);
        if (reserved.state() == State.HELD) {
            content = Buffer.buffer((int) length);
            startReading(timeout);
        } else if (reserved.state() == State.WAITING) {
            context.metrics().count("bodies_paused");
            request.pause();
            connection.startAnswer();
            timer = context.timers().after(maximumWait).subscribe(this::rejectForMemory);
        } else {
            rejectForMemory();
        }
    }

    /** Tells whether the body is not read because it waits for memory. */
    boolean isPaused() {
        return reservation.map(Reservation::state).filter(State.WAITING::equals).isPresent();
    }

    /** Returns the length that the head states, or -1 for a body in chunks. */
    private long statedLength() {
        if (request.headers().contains("transfer-encoding")) {
            return -1;
        }
        try {
            return Long.parseLong(
                    Optional.ofNullable(request.getHeader("content-length")).orElse("0"));
        } catch (NumberFormatException invalid) {
            return -1;
        }
    }

    private void onGranted(int length, Duration timeLeft) {
        timer.dispose();
        content = Buffer.buffer(length);
        connection.startRequest();
        startReading(timeLeft);
        request.resume();
    }

    private void startReading(Duration timeLeft) {
        if (reservation.map(Reservation::bytes).orElse(0L) > BodyMemory.SMALL_BODY_BYTES) {
            endReadingAfter(timeLeft);
        }
        request.handler(chunk -> accept(chunk, timeLeft));
        request.endHandler(ignored -> {
            if (!ended) {
                timer.dispose();
                connection.startAnswer();
                onComplete.run();
            }
        });
    }

    /** Bounds the time for which a caller that sends slowly can hold the memory of a large body. */
    private void endReadingAfter(Duration timeLeft) {
        timer = context.timers()
                .after(timeLeft)
                .subscribe(() -> reject(
                        ErrorKind.DEADLINE_UNREACHABLE, "the body did not arrive before the deadline", maximumBytes));
    }

    private void accept(Buffer chunk, Duration timeLeft) {
        connection.recordActivity();
        if (ended) {
            return;
        }
        long length = (long) content.length() + chunk.length();
        if (length > maximumBytes) {
            reject(ErrorKind.BODY_TOO_LARGE, "the body is too large", Long.MAX_VALUE);
            return;
        }
        Reservation reserved = reservation.orElseThrow();
        if (!context.bodyMemory().extend(reserved, length, context.timers().monotonicNanoseconds())) {
            rejectForMemory();
            return;
        }
        content.appendBuffer(chunk);
        if (reserved.bytes() > BodyMemory.SMALL_BODY_BYTES && timer.isDisposed()) {
            endReadingAfter(timeLeft);
        }
    }

    private void rejectForMemory() {
        BodyMemory memory = context.bodyMemory();
        reject(
                ErrorKind.MEMORY_EXHAUSTED,
                String.format(
                        "no room for the body in time, held=%d of %d waiting=%d",
                        memory.heldBytes(), memory.maximumBytes(), memory.waitingBodies()),
                maximumBytes);
    }

    private void reject(ErrorKind kind, String cause, long discardedBytes) {
        if (ended) {
            return;
        }
        release();
        onRejected.accept(new FireflywalkException(kind, cause, LOCATION));
        discardRest(discardedBytes);
    }

    /** Reads the rest within bounds, so that the connection stays usable for the next request, or closes it. */
    private void discardRest(long bytes) {
        long[] left = {bytes};
        if (bytes < Long.MAX_VALUE) {
            timer = context.timers().after(DISCARD_TIMEOUT).subscribe(this::closeConnection);
        }
        request.handler(chunk -> {
            connection.recordActivity();
            left[0] -= chunk.length();
            if (left[0] < 0) {
                closeConnection();
            }
        });
        request.endHandler(ignored -> timer.dispose());
        request.resume();
    }

    private void closeConnection() {
        timer.dispose();
        request.connection().close();
    }

    /** Lets the body go; nothing of it is read any more. */
    void release() {
        ended = true;
        timer.dispose();
        content = Buffer.buffer();
        reservation.ifPresent(
                held -> context.bodyMemory().release(held, context.timers().monotonicNanoseconds()));
        reservation = Optional.empty();
    }

    Buffer content() {
        return content;
    }
}
