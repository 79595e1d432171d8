package io.fireflywalk.core.configuration;

/** Whether a target checks the fencing tokens of orders. */
public enum OrderChecking {
    /** The target refuses orders with a fencing token lower than the highest it has seen. */
    CHECKS_FENCING_TOKEN,
    /** The target accepts every order. */
    IGNORES_FENCING_TOKEN
}
