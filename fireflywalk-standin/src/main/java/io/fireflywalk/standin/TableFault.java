package io.fireflywalk.standin;

/** What goes wrong with one call to the table service. */
public enum TableFault {
    /** The call works. */
    NONE,
    /** The call takes effect and its response is lost. */
    TIMEOUT_WITH_EFFECT,
    /** The call is lost before it takes effect. */
    TIMEOUT_WITHOUT_EFFECT,
    /** The call takes effect after the delay, and its response follows at once. */
    SLOW,
    /** The call takes effect at once, and its response follows after the delay. */
    LATE_RESPONSE,
    /** The service refuses the call. */
    OUT
}
