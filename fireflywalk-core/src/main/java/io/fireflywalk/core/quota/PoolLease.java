package io.fireflywalk.core.quota;

import java.time.Duration;
import java.util.Optional;

/**
 * Lease on granting from a pool, kept in a row that is written on condition of its version. A holder grants only within
 * {@link #TERM} after it sent a write that succeeded; another instance takes over only after it has seen the same row for
 * longer. Each takeover begins an epoch, and successive epochs begin at least {@link QuotaPool#LIFETIME} apart, so that a
 * granter has to allow for the grants of one predecessor only. Not thread-safe.
 *
 * <p>When the store returns from an older copy, the row may name a holder that has been replaced in the lost seconds. Only
 * the holder of a valid lease goes on, because nobody can have replaced it; all others wait for a whole term.
 */
public final class PoolLease {
    /** Longer than usual outages of the store, so that granting goes on meanwhile. */
    public static final Duration TERM = Duration.ofSeconds(8);

    /** Allows for the drift of clocks. */
    private static final long HOLDER_MARGIN = Duration.ofMillis(400).toNanos();

    private static final long TAKEOVER_MARGIN = Duration.ofMillis(400).toNanos();
    private static final long RENEWAL_INTERVAL = Duration.ofSeconds(2).toNanos();
    /** After as many renewals, the epoch is older than the lifetime of grants. */
    private static final int RENEWALS_IN_LIFETIME = 2;

    /** Bounds the writes that fail while the store does not respond. */
    private static final long TAKEOVER_INTERVAL = Duration.ofSeconds(1).toNanos();
    /** Spreads the writes of instances that see the same lapse. */
    private static final long RANK_DELAY = Duration.ofMillis(400).toNanos();

    private static final int MAXIMUM_RANK = 8;
    private static final String NO_HOLDER = "";

    private final String instance;
    private final String process;
    private final long startedAt;
    private Row observed = new Row(NO_HOLDER, "", 0, 0);
    private long observedVersion;
    private boolean removed;
    private long observedAt;
    private boolean writing;
    private long writtenAt = Long.MIN_VALUE / 2;
    private boolean acquired;
    private long acquiredEpoch;
    private long acquiredAt;
    private long validUntil = Long.MIN_VALUE;
    private boolean resigned;
    /** Highest epoch known; the store may have lost the row of it. */
    private long highestEpoch;
    /** Whether the row is known only as a copy shows it, and so does not tell who has held the lease last. */
    private boolean shownByCopy;
    /** Whether this process holds a lease of which the store may have lost the row. */
    private boolean continued;
    /** Row of the present era while this process continues its own lease. */
    private Row shown = observed;

    /**
     * Content of the row.
     *
     * @param holder name of the instance; empty if the lease was released
     * @param process identifier of the process of the instance
     * @param epoch number of the takeover
     * @param renewals number of renewals in this epoch, which are at least the renewal interval apart
     */
    public record Row(String holder, String process, long epoch, long renewals) {

        /** Tells whether the row names the same holder in the same epoch. */
        public boolean isSameEpoch(Row other) {
            return holder.equals(other.holder) && process.equals(other.process) && epoch == other.epoch;
        }
    }

    /** Write to attempt, on condition of the version of the row; 0 means that there must be none. */
    public record Write(Row row, long version, long sentAt) {}

    /** Creates a lease that is not held. */
    public PoolLease(String instance, String process, ClockReading now) {
        this.instance = instance;
        this.process = process;
        this.startedAt = now.slow();
        this.observedAt = now.slow();
    }

    /** Records the row as read from the store. */
    public void onRow(Row row, long version, ClockReading now) {
        if (version <= observedVersion) {
            return;
        }
        shownByCopy &= observedVersion == 0;
        observedVersion = version;
        removed = false;
        observedAt = now.slow();
        shown = row;
        if (!continued) {
            observe(row);
        }
    }

    private void observe(Row row) {
        observed = row;
        highestEpoch = Math.max(highestEpoch, row.epoch());
    }

    /** Records that the store has returned from an older copy; its rows and versions must be read again. */
    public void onEraChanged(ClockReading now) {
        continued = isHeld(now);
        shownByCopy = true;
        observedVersion = 0;
        removed = false;
        observedAt = now.slow();
        writtenAt = Long.MIN_VALUE / 2;
        shown = new Row(NO_HOLDER, "", highestEpoch, 0);
        if (!continued) {
            acquired = false;
            observe(shown);
        }
    }

    /** Ends the lease of an earlier era that has not been written again in time. */
    private void endContinuation(ClockReading now) {
        if (continued && now.fast() >= validUntil) {
            continued = false;
            acquired = false;
            observe(shown);
        }
    }

    /** Records that the row was removed; its epoch stays known, so that the next one is not taken for the first. */
    public void onRemoved(long version, ClockReading now) {
        if (version > observedVersion) {
            onRow(new Row(NO_HOLDER, "", observed.epoch(), 0), version, now);
            removed = true;
        }
    }

    /** Tells whether this process may grant now. */
    public boolean isHeld(ClockReading now) {
        return acquired && !resigned && isOwn() && now.fast() < validUntil;
    }

    /** Tells whether this process is, or may be about to become, the holder. */
    public boolean isTaken() {
        return writing || isOwn();
    }

    private boolean isOwn() {
        return (continued || !shownByCopy)
                && observed.holder().equals(instance)
                && observed.process().equals(process);
    }

    /** Returns the latest known content of the row. */
    public Row observed() {
        return observed;
    }

    /** Tells whether the epoch of this process is the first of all. */
    public boolean isFirstEpoch() {
        return observed.epoch() == 1;
    }

    /**
     * Returns the write that is due, if any; {@link #onWritten} or {@link #onNotWritten} must follow it.
     *
     * @param rank rank of this instance among the live ones for this pool, 0 for the first
     */
    public Optional<Write> nextWrite(int rank, ClockReading now) {
        endContinuation(now);
        if (writing || resigned) {
            return Optional.empty();
        }
        long interval = isOwn() ? RENEWAL_INTERVAL : TAKEOVER_INTERVAL;
        if (now.slow() - writtenAt < interval || (!isOwn() && !mayTakeOver(rank, now))) {
            return Optional.empty();
        }
        Row row = isOwn()
                ? new Row(instance, process, observed.epoch(), observed.renewals() + 1)
                : new Row(instance, process, Math.max(observed.epoch(), highestEpoch) + 1, 0);
        return Optional.of(write(row, now));
    }

    private Write write(Row row, ClockReading now) {
        writing = true;
        writtenAt = now.slow();
        return new Write(row, removed ? 0 : observedVersion, now.fast());
    }

    private boolean mayTakeOver(int rank, ClockReading now) {
        long delay = Math.min(rank, MAXIMUM_RANK) * RANK_DELAY;
        long unchanged = now.slow() - observedAt;
        if (shownByCopy) {
            return unchanged >= TERM.toNanos() + TAKEOVER_MARGIN + delay;
        }
        if (observed.holder().equals(NO_HOLDER)) {
            return unchanged >= delay;
        }
        // Names are unique among running instances, so the process that held the lease has ended. Its epoch must have
        // begun
        // long enough ago, which its renewals or the age of this process show.
        boolean predecessorEnded = observed.holder().equals(instance)
                && (observed.renewals() >= RENEWALS_IN_LIFETIME
                        || now.slow() - startedAt >= QuotaPool.LIFETIME.toNanos() + TAKEOVER_MARGIN);
        return predecessorEnded || unchanged >= TERM.toNanos() + TAKEOVER_MARGIN + delay;
    }

    /** Records that a write has succeeded. */
    public void onWritten(Write write, long version, ClockReading now) {
        writing = false;
        continued = false;
        shownByCopy = false;
        onRow(write.row(), version, now);
        if (isOwn() && observedVersion == version) {
            if (!acquired || acquiredEpoch != observed.epoch()) {
                acquired = true;
                acquiredEpoch = observed.epoch();
                acquiredAt = now.slow();
            }
            validUntil = write.sentAt() + TERM.toNanos() - HOLDER_MARGIN;
        }
    }

    /** Records that a write has failed or that its outcome is unknown, in which case reading the row shows it. */
    public void onNotWritten() {
        writing = false;
    }

    /** Stops granting for good. */
    public void resign() {
        resigned = true;
    }

    /**
     * Returns the write that releases the lease after {@link #resign}, so that another instance takes over at once. The
     * lease is left to lapse if its epoch is so young that grants of the one before may still be used.
     */
    public Optional<Write> release(ClockReading now) {
        boolean young = now.slow() - acquiredAt < QuotaPool.LIFETIME.toNanos() + TAKEOVER_MARGIN;
        if (!acquired || writing || !isOwn() || young) {
            return Optional.empty();
        }
        return Optional.of(write(new Row(NO_HOLDER, "", observed.epoch(), 0), now));
    }
}
