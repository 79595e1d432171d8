package io.fireflywalk.core.admission;

import java.util.List;

/**
 * What an instance tells its peers in a heartbeat of the work that it admitted since the last one, per client account,
 * and of its queues. Accounts without new work and without a queue are left out.
 *
 * <p>Size: the JSON form of an entry takes at most {@value #ENTRY_BYTES} bytes (a number for the account, its position
 * in the name order of the configuration version, instead of its name). An instance sends a digest to
 * {@value #FAN_OUT} peers a second, so its traffic is FAN_OUT × entries × ENTRY_BYTES. With
 * 4,400 accounts, of which a digest names the {@link #MAXIMUM_ENTRIES} with the most work not yet told, that is at most
 * 3 × 256 × 24 = 18 KB/s of the 24 KB/s that a node may spend. The work of the others is told later.
 *
 * @param configurationVersion version whose account order the numbers refer to; a digest of another version is dropped
 * @param entries accounts with the most work, at most {@link #MAXIMUM_ENTRIES}
 */
public record UsageDigest(long configurationVersion, List<Entry> entries) {
    /** Bound of the named accounts. */
    public static final int MAXIMUM_ENTRIES = 256;

    /** Upper bound of the JSON form of one entry, as {@code [4399,99999999,99999],}. */
    public static final int ENTRY_BYTES = 24;

    /** Peers to which a digest goes each second. */
    public static final int FAN_OUT = 3;

    public UsageDigest {
        entries = List.copyOf(entries);
    }

    /**
     * Admitted work of one account.
     *
     * @param account number of the account
     * @param cost admitted work in weighted tokens since the last digest
     * @param queued requests in the account's queue now
     */
    public record Entry(int account, long cost, int queued) {}
}
