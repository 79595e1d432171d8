package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Locale;
import java.util.regex.Pattern;

/** Route-independent validation and parsing of a caller's request head. Stateless. */
final class RequestHead {
    /** Header with the caller's deadline in milliseconds after receipt. */
    static final String DEADLINE_HEADER = "x-fireflywalk-deadline-ms";

    private static final String LOCATION = "request head";
    private static final long MAXIMUM_DEADLINE_MILLISECONDS = 24 * 60 * 60 * 1000L;
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}");
    /** Dot segments that a target resolves could escape the route prefix whose authentication rules were applied. */
    private static final Pattern DOT_SEGMENT = Pattern.compile("(?i)/(\\.|%2e){1,2}(/|%2f|$)|%2f|%5c|\\\\");

    private RequestHead() {}

    /** Rejects a request whose path or length headers are ambiguous. */
    static void requireWellFormed(HttpServerRequest request) throws FireflywalkException {
        String path = request.path();
        if (path == null || !path.startsWith("/") || !request.uri().startsWith("/")) {
            throw invalid("the request target must be a path");
        }
        if (DOT_SEGMENT.matcher(path).find()) {
            throw invalid("the path must not have dot segments or encoded slashes");
        }
        boolean chunked = request.headers().contains("transfer-encoding");
        if (request.headers().getAll("content-length").size() + (chunked ? 1 : 0) > 1) {
            throw invalid("conflicting length headers");
        }
        if (chunked
                && !request.getHeader("transfer-encoding")
                        .toLowerCase(Locale.ROOT)
                        .equals("chunked")) {
            throw invalid("unknown transfer encoding");
        }
    }

    /** Returns the declared length of the body, or -1 if the body is chunked. */
    static long declaredLength(HttpServerRequest request) {
        String length = request.getHeader("content-length");
        if (length == null) {
            return request.headers().contains("transfer-encoding") ? -1 : 0;
        }
        // The HTTP decoder has rejected lengths that are not numbers.
        return Long.parseLong(length.trim());
    }

    /** Returns the caller's deadline, or the given default. */
    static Duration deadline(HttpServerRequest request, long defaultMilliseconds) throws FireflywalkException {
        String value = request.getHeader(DEADLINE_HEADER);
        if (value == null) {
            return Duration.ofMillis(defaultMilliseconds);
        }
        long milliseconds = NUMBER.matcher(value).matches() ? Long.parseLong(value) : 0;
        if (milliseconds <= 0 || milliseconds > MAXIMUM_DEADLINE_MILLISECONDS) {
            throw invalid(DEADLINE_HEADER + " must be 1 to " + MAXIMUM_DEADLINE_MILLISECONDS);
        }
        return Duration.ofMillis(milliseconds);
    }

    private static FireflywalkException invalid(String detail) {
        return new FireflywalkException(ErrorKind.INVALID_REQUEST, detail, LOCATION);
    }
}
