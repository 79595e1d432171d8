package io.fireflywalk.core.admission;

import java.util.List;

/**
 * Admitted work and queue length per client account, which an instance sends to its peers with a heartbeat. Accounts
 * without new work and without queued requests are omitted.
 *
 * <p>The JSON form of an entry takes at most {@value #ENTRY_BYTES} bytes, because it holds the account's index in the
 * name order of the configuration version instead of its name. An instance sends a digest to {@value #FAN_OUT} peers a
 * second, so its traffic is FAN_OUT × entries × ENTRY_BYTES. A digest holds the {@link #MAXIMUM_ENTRIES} accounts with
 * the most unreported work, for example out of 4,400 accounts; that is at most 3 × 128 × 24 = 9 KB/s of the 24 KB/s
 * that a node may use. The work of the other accounts is reported by later digests.
 *
 * @param configurationVersion version that defines the account indexes; a digest of another version is dropped
 * @param entries accounts with the most unreported work, at most {@link #MAXIMUM_ENTRIES}
 */
public record UsageDigest(long configurationVersion, List<Entry> entries) {
    /** Maximum number of accounts in a digest. */
    public static final int MAXIMUM_ENTRIES = 128;

    /** Maximum size of the JSON form of an entry, for example {@code [4399,99999999,99999],}. */
    public static final int ENTRY_BYTES = 24;

    /** Number of peers that receive a digest each second. */
    public static final int FAN_OUT = 3;

    public UsageDigest {
        entries = List.copyOf(entries);
    }

    /**
     * Admitted work of one account.
     *
     * @param account index of the account
     * @param cost admitted work in weighted tokens that no earlier digest reported
     * @param queued number of requests in the account's queue
     */
    public record Entry(int account, long cost, int queued) {}
}
