package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.CallerLimit;
import io.fireflywalk.core.ingress.CallerMemory;
import io.fireflywalk.core.ingress.CallerMemory.Holder;
import io.fireflywalk.core.ingress.HeadMeter;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Activity of a connection of a caller, which tells when it may be closed, and the memory that it holds. Confined to one
 * event loop.
 */
final class CallerConnection {
    /** Memory for a head is taken in steps, so that a usual head takes one. */
    private static final long HEAD_STEP = 4096;

    private final TimerService timers;
    private final CallerMemory memory;
    private final Holder holder;
    /** Heads that have been decoded and not answered. */
    private final ArrayDeque<Head> heads = new ArrayDeque<>();

    /** Number of these whose requests are being handled. */
    private int handledHeads;

    private Phase phase = Phase.IDLE;
    private long lastActiveAt;
    private long undecoded;
    private Optional<Long> headStartedAt = Optional.empty();
    private boolean used;
    private Runnable answerHandler = () -> {};

    /** A decoded head, which holds memory until its request has been answered. */
    static final class Head {
        private long bytes;

        private Head(long bytes) {
            this.bytes = bytes;
        }
    }

    /** What the connection waits for. */
    private enum Phase {
        /** For the next request. */
        IDLE,
        /** For the rest of the body of a request. */
        REQUEST,
        /** For this instance, which has read a whole request and not answered it. */
        ANSWER,
        /** For the caller to read the rest of a response. */
        WRITING
    }

    /**
     * Creates the record of an open connection.
     *
     * @param close receives the limit if the memory of the connection is needed for others
     */
    CallerConnection(TimerService timers, CallerMemory memory, String address, Consumer<CallerLimit> close) {
        this.timers = timers;
        this.memory = memory;
        this.holder = memory.open(address, close);
        recordActivity();
    }

    /** Records the end of the connection, which releases all that it holds. */
    void close() {
        memory.close(holder);
    }

    // Memory

    /** Takes memory for what the decoder holds of an incomplete head or of trailers; returns false if there is none. */
    boolean holdUndecoded(long bytes) {
        long needed = CallerMemory.withResponse(bytes);
        if (bytes == 0 || needed <= undecoded) {
            return true;
        }
        long added = needed - undecoded + HEAD_STEP;
        if (!memory.grow(holder, added)) {
            return false;
        }
        undecoded += added;
        return true;
    }

    /** Releases what the decoder held of a head that it has refused, or of trailers. */
    void releaseUndecoded() {
        memory.shrink(holder, undecoded);
        undecoded = 0;
    }

    /** Records that the first bytes of a head have arrived. */
    void startHead() {
        if (headStartedAt.isEmpty()) {
            headStartedAt = Optional.of(timers.monotonicNanoseconds());
        }
    }

    /**
     * Records that a head is complete, whose memory is held until its request has been answered.
     *
     * @param cost memory of the head; what has been taken beyond it and the part of its response is released
     */
    void endHead(long cost) {
        headStartedAt = Optional.empty();
        used = true;
        long kept = Math.min(undecoded, CallerMemory.withResponse(cost));
        memory.shrink(holder, undecoded - kept);
        heads.add(new Head(kept));
        undecoded = 0;
        memory.setBusy(holder, true);
    }

    /** Returns the head of the next request that is handled; empty if its connection has just been closed. */
    Optional<Head> startHandling() {
        handledHeads++;
        return heads.stream().skip(handledHeads - 1L).findFirst();
    }

    /** Releases the memory of the lines of a head that are not needed any more. */
    void releaseHead(Head head) {
        long kept = Math.min(head.bytes, CallerMemory.withResponse(HeadMeter.cost(0, 0)));
        memory.shrink(holder, head.bytes - kept);
        head.bytes = kept;
    }

    /** Sets the handler that runs after each response that has been written. */
    void onAnswered(Runnable handler) {
        answerHandler = handler;
    }

    /** Returns the number of requests that have been decoded and not answered. */
    int unansweredRequests() {
        return heads.size();
    }

    /** Takes memory for a part of a response that has not been written. */
    void holdResponse(long bytes) {
        memory.addResponse(holder, bytes);
    }

    /** Releases a part of a response that has been written. */
    void releaseResponse(long bytes) {
        memory.releaseResponse(holder, bytes);
    }

    /** Tells whether the caller should read what has been written before more of its response is taken. */
    boolean isMemoryFull() {
        return memory.isFull();
    }

    // Activity

    /** Records the head of a request. */
    void startRequest() {
        enter(Phase.REQUEST);
    }

    /** Records that bytes of a body have arrived. */
    void recordActivity() {
        lastActiveAt = timers.monotonicNanoseconds();
    }

    /** Records that the body of the request is complete. */
    void startAnswer() {
        enter(Phase.ANSWER);
    }

    /** Records that the response has ended, but may not have been written. */
    void startWriting() {
        enter(Phase.WRITING);
    }

    /** Records that the response has been written; a request that follows it at once may have started before. */
    void endWriting() {
        if (!heads.isEmpty()) {
            memory.shrink(holder, heads.remove().bytes);
            handledHeads = Math.max(0, handledHeads - 1);
        }
        memory.setBusy(holder, !heads.isEmpty());
        answerHandler.run();
        if (phase == Phase.WRITING) {
            enter(Phase.IDLE);
        }
    }

    private void enter(Phase next) {
        phase = next;
        recordActivity();
    }

    /** Tells whether no request has been in progress, and no response remained to be written, for some time. */
    boolean isIdleFor(Duration time) {
        return phase == Phase.IDLE && isInactiveFor(time);
    }

    /** Tells whether the caller has neither sent nor read anything for some time although it is its turn. */
    boolean isCallerSilentFor(Duration time) {
        return phase != Phase.ANSWER && isInactiveFor(time);
    }

    /** Tells whether the caller has taken longer for a head while the connection had no request in progress. */
    boolean isHeadLateBy(Duration time) {
        return phase == Phase.IDLE
                && heads.isEmpty()
                && headStartedAt
                        .filter(start ->
                                timers.monotonicNanoseconds() - Math.max(start, lastActiveAt) >= time.toNanos())
                        .isPresent();
    }

    /** Tells whether the caller has sent no whole head since it connected. */
    boolean isUnused() {
        return !used;
    }

    /** Tells whether nothing has happened for some time. */
    boolean isInactiveFor(Duration time) {
        return timers.monotonicNanoseconds() - lastActiveAt >= time.toNanos();
    }
}
