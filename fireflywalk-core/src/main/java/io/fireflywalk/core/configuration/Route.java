package io.fireflywalk.core.configuration;

import java.util.Set;

/**
 * A route of a plain service.
 *
 * @param pathPrefix prefix of the request path, starting with a slash; the longest matching prefix wins
 * @param methods HTTP methods that the route accepts
 * @param openToAll true if the route requires no API key
 * @param idempotent true if a request may be sent to targets more than once
 */
public record Route(String pathPrefix, Set<String> methods, boolean openToAll, boolean idempotent) {

    public Route {
        methods = Set.copyOf(methods);
    }

    /** Tells whether the prefix matches the path at a segment boundary. */
    public boolean matches(String path) {
        if (!path.startsWith(pathPrefix)) {
            return false;
        }
        return path.length() == pathPrefix.length()
                || pathPrefix.endsWith("/")
                || path.charAt(pathPrefix.length()) == '/';
    }
}
