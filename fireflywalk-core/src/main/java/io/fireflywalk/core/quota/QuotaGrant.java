package io.fireflywalk.core.quota;

/**
 * Answer of a granter. The amount granted may be used for {@link QuotaPool#LIFETIME} after {@code sentAt}.
 *
 * @param account client account
 * @param generation generation of the holding
 * @param granted total granted to the holding
 * @param sentAt time at which the instance sent the answered message
 * @param waitMilliseconds time until the minimum may be available; 0 if it was granted
 */
public record QuotaGrant(String account, long generation, long granted, long sentAt, long waitMilliseconds) {}
