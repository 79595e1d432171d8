package io.fireflywalk.daemon.gateway;

import io.vertx.core.MultiMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Selects the headers that are forwarded between callers and targets. Stateless. */
public final class HeaderFilter {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");
    private static final Set<String> DROPPED_REQUEST_HEADERS = Set.of(
            "authorization",
            "x-api-key",
            "api-key",
            "cookie",
            "host",
            "content-length",
            "last-event-id",
            "x-request-id",
            "x-attempt-id",
            "x-priority",
            "x-deadline-ms",
            "x-client-account",
            "x-real-ip",
            "x-remote-user",
            "x-user",
            "x-user-id",
            "forwarded",
            "remote-user");
    private static final Set<String> DROPPED_RESPONSE_HEADERS =
            Set.of("x-attempt-id", "x-engine-admitted", "content-length");
    private static final Set<String> DROPPED_REQUEST_PREFIXES =
            Set.of("x-forwarded-", "x-authenticated-", "x-auth-", "x-engine-");
    private static final String FIREFLYWALK_PREFIX = "x-fireflywalk-";

    private HeaderFilter() {}

    /** Copies the request headers to forward to a target; API keys and identity headers are dropped. */
    public static void copyToTarget(
            MultiMap callerHeaders, MultiMap targetHeaders, Optional<String> presentedKey, boolean keepCookies) {
        Set<String> named = namedByConnection(callerHeaders);
        callerHeaders.forEach((name, value) -> {
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (isForwardable(lowerCase, named)
                    && !DROPPED_REQUEST_HEADERS.contains(lowerCase)
                    && DROPPED_REQUEST_PREFIXES.stream().noneMatch(lowerCase::startsWith)
                    && !ApiKeyRemover.containsKey(value, presentedKey)) {
                targetHeaders.add(lowerCase, value);
            }
        });
        if (keepCookies) {
            callerHeaders
                    .getAll("cookie")
                    .forEach(cookies -> ApiKeyRemover.cookiesWithoutKey(cookies, presentedKey)
                            .ifPresent(kept -> targetHeaders.add("cookie", kept)));
        }
    }

    /** Copies the response headers to forward to the caller, except {@code content-length}. */
    public static void copyToCaller(MultiMap targetHeaders, MultiMap callerHeaders) {
        Set<String> named = namedByConnection(targetHeaders);
        targetHeaders.forEach((name, value) -> {
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (isForwardable(lowerCase, named) && !DROPPED_RESPONSE_HEADERS.contains(lowerCase)) {
                callerHeaders.add(lowerCase, value);
            }
        });
    }

    private static Set<String> namedByConnection(MultiMap headers) {
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll("connection")) {
            for (String name : value.split(",", -1)) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }

    private static boolean isForwardable(String lowerCaseName, Set<String> namedByConnection) {
        return !HOP_BY_HOP.contains(lowerCaseName)
                && !namedByConnection.contains(lowerCaseName)
                && !lowerCaseName.startsWith(FIREFLYWALK_PREFIX);
    }
}
