package io.fireflywalk.core.configuration;

/**
 * An API key of a client account. The secret itself is never stored.
 *
 * @param name public identifier, which is part of the key that the caller sends
 * @param clientAccount account that requests with this key belong to
 * @param secretDigest lower-case hexadecimal SHA-256 digest of the secret
 * @param revoked true if requests with this key are rejected
 */
public record ApiKey(String name, String clientAccount, String secretDigest, boolean revoked)
        implements ConfigurationDocument {

    @Override
    public DocumentKind kind() {
        return DocumentKind.API_KEY;
    }

    /** Returns a revoked copy of this key. */
    public ApiKey asRevoked() {
        return new ApiKey(name, clientAccount, secretDigest, true);
    }
}
