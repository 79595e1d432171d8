package io.fireflywalk.core.ingress;

/**
 * Additional time that recent transfers of KV caches from and to a runner took, because of its link or its load. A
 * transfer has two ends, and its time does not tell which of them is slow: most of the delay is attributed to the end
 * that is already known for delays, so that a few transfers with different partners single out a slow runner. Not
 * thread-safe.
 */
public final class TransferDelay {
    /** Delay from which other instances are told of a transfer; usual transfers vary by less. */
    public static final double NOTABLE_MILLISECONDS = 100;
    /** Slow links last some seconds. */
    private static final double HALF_LIFE_MILLISECONDS = 2000;

    private static final double PRIOR_WEIGHT = 0.5;
    /** Delay that an end without any delay is taken to have, so that the first delay is divided evenly. */
    private static final double BASE_MILLISECONDS = 20;

    private DecayingAverage delays = newAverage();

    TransferDelay() {}

    private static DecayingAverage newAverage() {
        return new DecayingAverage(0, 0, PRIOR_WEIGHT, HALF_LIFE_MILLISECONDS);
    }

    /** Forgets what is known of an earlier run of the runner. */
    void clear() {
        delays = newAverage();
    }

    /** Returns the expected delay of a transfer from or to the runner. */
    double milliseconds(long now) {
        return delays.mean(0, now);
    }

    /** Records a transfer between two runners that took longer than usual by the delay, which may be 0. */
    public static void record(TargetState source, TargetState destination, double delayMilliseconds, long now) {
        double sourceDelay = BASE_MILLISECONDS + source.transferDelayMilliseconds(now);
        double destinationDelay = BASE_MILLISECONDS + destination.transferDelayMilliseconds(now);
        double sourceShare = sourceDelay / (sourceDelay + destinationDelay);
        source.transferDelay().delays.add(delayMilliseconds * sourceShare, now);
        destination.transferDelay().delays.add(delayMilliseconds * (1 - sourceShare), now);
    }

    /** Tells whether other instances should know of a transfer: it was slow, or one of its ends was thought to be. */
    public static boolean isNotable(TargetState source, TargetState destination, double delayMilliseconds, long now) {
        return delayMilliseconds >= NOTABLE_MILLISECONDS
                || source.transferDelayMilliseconds(now) >= NOTABLE_MILLISECONDS
                || destination.transferDelayMilliseconds(now) >= NOTABLE_MILLISECONDS;
    }
}
