package io.fireflywalk.core.configuration;

/**
 * A key of a client account. The secret itself is never stored.
 *
 * @param name public identifier of the key, part of the key that the caller sends
 * @param clientAccount account for which requests with this key run
 * @param secretDigest lower-case hexadecimal SHA-256 digest of the secret
 * @param revoked true if the key no longer admits requests
 */
public record ApiKey(String name, String clientAccount, String secretDigest, boolean revoked)
        implements ConfigurationDocument {

    @Override
    public DocumentKind kind() {
        return DocumentKind.API_KEY;
    }

    /** Returns the revoked form of this key. */
    public ApiKey revoke() {
        return new ApiKey(name, clientAccount, secretDigest, true);
    }
}
