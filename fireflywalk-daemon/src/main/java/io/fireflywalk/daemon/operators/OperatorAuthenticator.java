package io.fireflywalk.daemon.operators;

import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.daemon.settings.DaemonSettings;
import java.util.List;
import java.util.Optional;

/** Authenticates operators by their keys. Immutable. */
final class OperatorAuthenticator {
    private static final String BEARER_PREFIX = "Bearer ";

    private final List<DaemonSettings.OperatorKey> keys;

    OperatorAuthenticator(List<DaemonSettings.OperatorKey> keys) {
        this.keys = List.copyOf(keys);
    }

    /** Returns the name of the operator whose key is in the authorization header. */
    Optional<String> authenticate(Optional<String> authorization) {
        Optional<String> secret = authorization
                .filter(value -> value.startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length()));
        if (secret.isEmpty()) {
            return Optional.empty();
        }
        Optional<String> operator = Optional.empty();
        for (DaemonSettings.OperatorKey key : keys) {
            // Compares with every key, so that the duration does not depend on which key matches.
            if (SecretDigest.matches(secret.get(), key.digest())) {
                operator = Optional.of(key.name());
            }
        }
        return operator;
    }
}
