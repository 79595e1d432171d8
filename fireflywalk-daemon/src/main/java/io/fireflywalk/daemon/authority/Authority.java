package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.lease.LeaseUnit;

/**
 * Proof that this process held the lease of a unit at the time of the query. Must be checked again immediately before
 * each send.
 *
 * @param unit unit that the lease covers
 * @param token fencing token of the lease
 * @param incarnation incarnation of this process
 */
public record Authority(LeaseUnit unit, long token, String incarnation) {}
