package io.fireflywalk.daemon.gateway;

import io.vertx.core.MultiMap;
import java.util.Locale;
import java.util.Set;

/** Decides which headers pass between callers and targets. Stateless. */
public final class HeaderFilter {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");
    private static final Set<String> FROM_CALLER_ONLY = Set.of(
            "authorization",
            "x-api-key",
            "cookie",
            "host",
            "content-length",
            "last-event-id",
            "x-request-id",
            "x-attempt-id",
            "x-priority",
            "x-deadline-ms",
            "x-client-account");
    private static final String OWN_PREFIX = "x-fireflywalk-";

    private HeaderFilter() {}

    /** Copies the headers of a caller that a target may see; keys and identity headers are dropped. */
    public static void copyToTarget(MultiMap callerHeaders, MultiMap targetHeaders) {
        callerHeaders.forEach((name, value) -> {
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (passes(lowerCase) && !FROM_CALLER_ONLY.contains(lowerCase)) {
                targetHeaders.add(lowerCase, value);
            }
        });
    }

    /** Copies the headers of a target that a caller may see. */
    public static void copyToCaller(MultiMap targetHeaders, MultiMap callerHeaders) {
        targetHeaders.forEach((name, value) -> {
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (passes(lowerCase) && !lowerCase.equals("x-attempt-id")) {
                callerHeaders.add(lowerCase, value);
            }
        });
    }

    private static boolean passes(String lowerCaseName) {
        return !HOP_BY_HOP.contains(lowerCaseName) && !lowerCaseName.startsWith(OWN_PREFIX);
    }
}
