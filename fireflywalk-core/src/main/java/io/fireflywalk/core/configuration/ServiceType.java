package io.fireflywalk.core.configuration;

/** Types of services. */
public enum ServiceType {
    /** A language model, served by engines with continuous batching. */
    MODEL,
    /** An HTTP application; requests and responses are passed through. */
    PLAIN
}
