package io.fireflywalk.standin;

/** Fault injected into one call to the table service. */
public enum TableFault {
    /** No fault. */
    NONE,
    /** The call takes effect, but its response is lost. */
    TIMEOUT_WITH_EFFECT,
    /** The call is lost before it takes effect. */
    TIMEOUT_WITHOUT_EFFECT,
    /** The call takes effect after a delay, and its response follows at once. */
    SLOW,
    /** The call takes effect at once, and its response follows after a delay. */
    LATE_RESPONSE,
    /** The call fails at once with {@code STORE_UNAVAILABLE}, as in an outage. */
    OUT
}
