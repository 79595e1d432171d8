package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.security.SecretDigest;
import io.vertx.core.MultiMap;
import java.util.Optional;

/**
 * Resolves the API key of a request to its client account. A key has the form {@code name.secret}; the digest of the
 * secret is compared in constant time. Stateless.
 */
public final class ApiKeyAuthenticator {
    private static final String BEARER = "Bearer ";
    private static final String LOCATION = "key";
    /** Compared when the key name is unknown, so that response times do not reveal which names exist. */
    private static final String DUMMY_DIGEST = "0".repeat(64);

    private ApiKeyAuthenticator() {}

    /** Returns the client account of the key in the headers. */
    public static String authenticate(ConfigurationSnapshot snapshot, MultiMap headers) throws FireflywalkException {
        if (headers.getAll("authorization").size() > 1
                || headers.getAll("x-api-key").size() > 1) {
            throw new FireflywalkException(ErrorKind.INVALID_REQUEST, "more than one key was sent", LOCATION);
        }
        String key = presentedKey(headers)
                .orElseThrow(() -> new FireflywalkException(ErrorKind.MISSING_KEY, "no key was sent", LOCATION));
        int dot = key.indexOf('.');
        String name = dot < 0 ? "" : key.substring(0, dot);
        Optional<ApiKey> configuredKey = snapshot.apiKey(name);
        boolean matches = SecretDigest.matches(
                key.substring(dot + 1), configuredKey.map(ApiKey::secretDigest).orElse(DUMMY_DIGEST));
        if (configuredKey.isEmpty() || configuredKey.get().revoked() || !matches) {
            throw new FireflywalkException(ErrorKind.UNKNOWN_KEY, "the key is unknown or revoked", LOCATION);
        }
        return configuredKey.get().clientAccount();
    }

    /** Returns the key in the headers, whether or not it is valid. */
    public static Optional<String> presentedKey(MultiMap headers) {
        String authorization = headers.get("authorization");
        if (authorization != null && authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Optional.of(authorization.substring(BEARER.length()).trim());
        }
        return Optional.ofNullable(headers.get("x-api-key"));
    }
}
