package io.fireflywalk.daemon.operators;

import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.daemon.settings.DaemonSettings;
import java.util.List;
import java.util.Optional;

/** Finds the operator of a key. Immutable. */
final class OperatorDirectory {
    private static final String BEARER = "Bearer ";

    private final List<DaemonSettings.OperatorKey> keys;

    OperatorDirectory(List<DaemonSettings.OperatorKey> keys) {
        this.keys = List.copyOf(keys);
    }

    /** Returns the name of the operator whose key the authorization header carries. */
    Optional<String> operatorOf(Optional<String> authorization) {
        Optional<String> secret =
                authorization.filter(value -> value.startsWith(BEARER)).map(value -> value.substring(BEARER.length()));
        if (secret.isEmpty()) {
            return Optional.empty();
        }
        Optional<String> found = Optional.empty();
        for (DaemonSettings.OperatorKey key : keys) {
            // Compares with every key, so that the time does not depend on which one matches.
            if (SecretDigest.matches(secret.get(), key.digest())) {
                found = Optional.of(key.name());
            }
        }
        return found;
    }
}
