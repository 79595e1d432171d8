package io.fireflywalk.core.configuration;

/** Kinds of configuration documents, in the order in which they may refer to each other. */
public enum DocumentKind {
    CLIENT_ACCOUNT,
    API_KEY,
    SERVICE,
    TARGET,
    MEMBER
}
