package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.lease.LeaseUnit;

/**
 * Proof that this process held a unit when it asked. It must be checked again immediately before each send.
 *
 * @param unit unit of authority
 * @param token fencing token
 * @param incarnation incarnation of this process
 */
public record Authority(LeaseUnit unit, long token, String incarnation) {}
