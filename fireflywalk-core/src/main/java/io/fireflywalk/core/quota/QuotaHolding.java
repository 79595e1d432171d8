package io.fireflywalk.core.quota;

import java.time.Duration;

/** What an instance holds of an account's quota from one pool. Not thread-safe. */
final class QuotaHolding {
    /** Time to the answer of a granter, over which another pool is asked. */
    private static final long ANSWER_TIMEOUT = Duration.ofMillis(15).toNanos();
    /** Time in which a granter that has not answered is not asked; a single datagram may have been lost. */
    private static final long SHORT_SILENCE = Duration.ofMillis(15).toNanos();
    /** The same for a granter that has not answered several times. */
    private static final long LONG_SILENCE = Duration.ofMillis(250).toNanos();

    private static final int UNANSWERED_ASKS = 3;
    /** Shortest time until a pool is asked again for an amount that it could not grant; bounds the messages. */
    private static final long MINIMUM_EXHAUSTION = Duration.ofMillis(100).toNanos();
    /** Longest such time: another instance may give an amount back. */
    private static final long MAXIMUM_EXHAUSTION = Duration.ofMillis(400).toNanos();

    private long epoch;
    private long generation = 1;
    private long granted;
    private long used;
    private long returned;
    private long reportedUsed;
    private long reportedReturned;
    private long expiresAt = Long.MIN_VALUE;
    private long askedAt = Long.MIN_VALUE / 2;
    private long askedMinimum;
    private boolean answerPending;
    private boolean fruitless;
    private int unanswered;
    private long silentUntil = Long.MIN_VALUE;
    private long exhaustedUntil = Long.MIN_VALUE;
    private long exhaustedAmount;
    private long availableAt;

    /** Begins a new generation if the grants have expired. */
    void expire(ClockReading now) {
        if (isExpired(now)) {
            reset();
        }
    }

    private boolean isExpired(ClockReading now) {
        return granted > 0 && now.fast() >= expiresAt;
    }

    private void reset() {
        generation++;
        granted = 0;
        used = 0;
        returned = 0;
        reportedUsed = 0;
        reportedReturned = 0;
        answerPending = false;
    }

    long balance() {
        return granted - used - returned;
    }

    /** Returns the balance without the grants that have expired. */
    long balance(ClockReading now) {
        return isExpired(now) ? 0 : balance();
    }

    long unreported() {
        return used - reportedUsed;
    }

    boolean hasUnreportedReturn() {
        return returned > reportedReturned;
    }

    /** Tells whether the latest message has brought nothing. */
    boolean isFruitless() {
        return fruitless;
    }

    long timeSinceAsk(ClockReading now) {
        return now.fast() - askedAt;
    }

    /** Uses at most the amount and returns how much was used. */
    long use(long amount) {
        long taken = Math.min(amount, balance());
        used += taken;
        return taken;
    }

    void giveBack(long amount) {
        returned += Math.min(amount, balance());
    }

    /** Tells whether an answer is expected that may bring the amount. */
    boolean isWaitingFor(long amount, ClockReading now) {
        if (answerPending && timeSinceAsk(now) >= ANSWER_TIMEOUT) {
            answerPending = false;
            unanswered++;
            silentUntil = now.fast() + (unanswered < UNANSWERED_ASKS ? SHORT_SILENCE : LONG_SILENCE);
        }
        return answerPending && askedMinimum - granted >= amount;
    }

    /** Tells whether it is of no use to ask for the amount now. */
    boolean isUnableToGrant(long amount, ClockReading now) {
        return now.fast() < silentUntil || isExhausted(amount, now);
    }

    private boolean isExhausted(long amount, ClockReading now) {
        return now.fast() < exhaustedUntil && amount >= exhaustedAmount;
    }

    /** Tells whether the amount may be asked for again before the time. */
    boolean mayGrantBefore(long amount, long time, ClockReading now) {
        return silentUntil < time && !isExhausted(amount, now);
    }

    /** Returns the time at which the granter expects that an amount it refused is available, or the present time. */
    long availableAt(ClockReading now) {
        return Math.max(now.fast(), availableAt);
    }

    /** Returns the message that asks for an addition to the balance. */
    QuotaAsk ask(String account, long minimum, long addition, ClockReading now) {
        askedAt = now.fast();
        reportedUsed = used;
        reportedReturned = returned;
        fruitless = true;
        if (minimum > 0) {
            askedMinimum = granted + minimum;
            answerPending = true;
        }
        return new QuotaAsk(
                account,
                generation,
                used,
                returned,
                minimum > 0 ? granted + minimum : 0,
                granted + Math.max(0, addition),
                now.fast());
    }

    /**
     * Records an answer and returns the amount that it adds.
     *
     * @param answerEpoch epoch of the granter's lease; a later one ends the holding
     */
    long onGrant(long answerEpoch, QuotaGrant grant, ClockReading now) {
        expire(now);
        if (answerEpoch > epoch) {
            epoch = answerEpoch;
            reset();
            unanswered = 0;
            silentUntil = Long.MIN_VALUE;
            exhaustedUntil = Long.MIN_VALUE;
            return 0;
        }
        if (answerEpoch < epoch || grant.generation() != generation || grant.sentAt() > now.fast()) {
            return 0;
        }
        long expiry = grant.sentAt() + QuotaPool.LIFETIME.toNanos();
        if (now.fast() >= expiry) {
            return 0;
        }
        expiresAt = Math.max(expiresAt, expiry);
        long added = Math.max(0, grant.granted() - granted);
        granted += added;
        fruitless &= added == 0;
        if (answerPending && grant.sentAt() >= askedAt) {
            answerPending = false;
            unanswered = 0;
            silentUntil = Long.MIN_VALUE;
            if (grant.waitMilliseconds() > 0) {
                long wait = Duration.ofMillis(grant.waitMilliseconds()).toNanos();
                availableAt = now.fast() + wait;
                exhaustedUntil = now.fast() + Math.max(MINIMUM_EXHAUSTION, Math.min(MAXIMUM_EXHAUSTION, wait));
                exhaustedAmount = askedMinimum - granted;
            } else {
                exhaustedUntil = Long.MIN_VALUE;
            }
        }
        return added;
    }

    long epoch() {
        return epoch;
    }
}
