package io.fireflywalk.core.store;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import java.util.Optional;

/**
 * Tracks the era that a store states in its answers. The era rises each time the store returns from an older copy: what
 * it acknowledged after that copy is gone, and its versions are given out again. A version therefore identifies a state
 * only together with its era.
 *
 * <p>The first era that is seen is no change. An answer that states none leaves the known era as it is. Thread-safe.
 */
public final class StoreEras {
    private static final String LOCATION = "store";
    /** Decimal digits of an era for which {@link FencingTokens} stays within the range of a long. */
    private static final String VALID_ERA = "[0-9]{1,11}";

    private Optional<Long> current = Optional.empty();
    private long changes;
    private long invalid;

    /** A call to the store that has been sent. */
    public final class Call {
        private final Optional<Long> eraAtStart;

        private Call(Optional<Long> eraAtStart) {
            this.eraAtStart = eraAtStart;
        }

        /**
         * Records the era that the answer states.
         *
         * @param kindIfOutdated kind of the error if the answer is of an earlier era than the newest known one
         */
        public void onAnswer(Optional<String> stated, ErrorKind kindIfOutdated) throws FireflywalkException {
            if (!observe(stated)) {
                throw new FireflywalkException(
                        kindIfOutdated,
                        "the answer is of an earlier era than " + current().orElse(0L),
                        LOCATION);
            }
        }

        /** Fails if the era has changed since the call was sent, so that the state it was applied to may be gone. */
        public void requireSameEra() throws FireflywalkException {
            if (isOfEarlierEra()) {
                throw new FireflywalkException(
                        ErrorKind.STORE_OUTCOME_UNKNOWN, "the store's era has changed during the call", LOCATION);
            }
        }

        /** Tells whether the era has changed since the call was sent. */
        public boolean isOfEarlierEra() {
            return eraAtStart.isPresent() && !eraAtStart.equals(current());
        }
    }

    /** Starts a call. */
    public synchronized Call startCall() {
        return new Call(current);
    }

    /** Returns the newest era that an answer has stated; empty if none has. */
    public synchronized Optional<Long> current() {
        return current;
    }

    /** Returns how often the era has changed. */
    public synchronized long changes() {
        return changes;
    }

    /** Returns how many answers have stated an era that is not a whole number. */
    public synchronized long invalid() {
        return invalid;
    }

    /** Records an era as stated; returns false if it is earlier than the newest known one. */
    private synchronized boolean observe(Optional<String> stated) {
        if (stated.isEmpty()) {
            return true;
        }
        if (!stated.get().matches(VALID_ERA)) {
            invalid++;
            return true;
        }
        long era = Long.parseLong(stated.get());
        if (current.isPresent() && era < current.get()) {
            return false;
        }
        if (current.isPresent() && era > current.get()) {
            changes++;
        }
        current = Optional.of(era);
        return true;
    }
}
