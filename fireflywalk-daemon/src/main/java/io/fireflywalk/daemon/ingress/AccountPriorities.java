package io.fireflywalk.daemon.ingress;

/** Priorities of client accounts. */
@FunctionalInterface
interface AccountPriorities {
    /** Priority of accounts for which none is stated. */
    int DEFAULT = 0;

    /** Returns the priority of an account; 0 is the highest. The name is empty for requests without an account. */
    int of(String account);
}
