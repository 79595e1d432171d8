package io.fireflywalk.core.configuration;

/** Kinds of configuration documents. A document refers only to documents of earlier kinds. */
public enum DocumentKind {
    CLIENT_ACCOUNT,
    API_KEY,
    SERVICE,
    TARGET,
    MEMBER
}
