package io.fireflywalk.core.configuration;

/** Types of services. */
public enum ServiceType {
    /** A language model behind engines that batch continuously. */
    MODEL,
    /** An HTTP application whose requests and answers are passed through. */
    PLAIN
}
