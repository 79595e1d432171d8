package io.fireflywalk.core.quota;

/**
 * Reading of the two clocks of a process, in nanoseconds. A quota must hold although a process or its machine is
 * suspended: whatever would be unsafe early (accrual, expiry of another process's rights) is measured on the slow clock,
 * whatever would be unsafe late (expiry of own rights) on the fast one.
 *
 * @param slow monotonic time, which may stand still while the machine is suspended
 * @param fast monotonic time plus all time by which the wall clock has advanced more than it
 */
public record ClockReading(long slow, long fast) {}
