package io.fireflywalk.core.configuration;

/** A named, immutable configuration document. */
public sealed interface ConfigurationDocument permits ClientAccount, ApiKey, Service, Target, MemberDocument {

    /** Returns the kind. Kind and name together identify the document. */
    DocumentKind kind();

    /** Returns the name, unique within the kind. */
    String name();
}
