package io.fireflywalk.core.quota;

/**
 * Message of an instance to the granter of a pool. Amounts are totals since the generation of the holding began, so that a
 * message may be lost, repeated or reordered.
 *
 * @param account client account
 * @param generation number of the holding at the instance; a holding that has expired is never used again
 * @param used amount used by requests
 * @param returned amount given back
 * @param minimum total to grant that the first waiting request needs; smaller grants would be of no use to it
 * @param target total to grant that all waiting requests and the reserve need
 * @param sentAt time at the instance, which the answer repeats
 */
public record QuotaAsk(
        String account, long generation, long used, long returned, long minimum, long target, long sentAt) {}
