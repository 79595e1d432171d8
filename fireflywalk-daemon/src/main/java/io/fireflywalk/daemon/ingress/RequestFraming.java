package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Rules of RFC 9112 on the head of a request that the HTTP decoder does not enforce. Stateless. */
final class RequestFraming {
    private static final String LOCATION = "request head";
    private static final char FIRST_PRINTABLE = '!';
    private static final char LAST_PRINTABLE = '~';

    /** Reason to refuse a request. */
    record Violation(ErrorKind kind, String detail) {}

    /** A request that violates the rules; it and what follows it on its connection must not run. */
    static final class ViolationException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        private final ErrorKind kind;

        ViolationException(Violation violation) {
            super(violation.detail());
            this.kind = violation.kind();
        }

        ErrorKind kind() {
            return kind;
        }
    }

    private RequestFraming() {}

    /** Returns the error of a request that the decoder has refused. */
    static FireflywalkException refusal(Throwable cause) {
        if (cause instanceof ViolationException violation) {
            return new FireflywalkException(violation.kind(), violation.getMessage(), LOCATION);
        }
        if (cause instanceof TooLongHttpLineException) {
            return new FireflywalkException(ErrorKind.URL_TOO_LONG, "the request line is too long", LOCATION);
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return new FireflywalkException(ErrorKind.HEADERS_TOO_LARGE, "the headers are too large", LOCATION);
        }
        // Omits the cause, because the message of the decoder may quote the request.
        return new FireflywalkException(ErrorKind.INVALID_REQUEST, "the request is not valid HTTP", LOCATION);
    }

    /**
     * Returns the reason to refuse a request, if there is one.
     *
     * @param lengths number of its {@code Content-Length} lines, which the decoder may have joined
     */
    static Optional<Violation> check(HttpRequest request, int lengths) {
        if (request.method().equals(HttpMethod.CONNECT)) {
            return Optional.of(new Violation(ErrorKind.METHOD_NOT_ALLOWED, "CONNECT is not supported"));
        }
        return checkTarget(request)
                .or(() -> checkBody(request, lengths))
                .or(() -> checkHost(request))
                .or(() -> checkExpectation(request.headers()));
    }

    /** Returns the reason to refuse a version, if there is one. */
    static Optional<Violation> checkVersion(HttpVersion version) {
        boolean known = version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
        return known ? Optional.empty() : invalid("the version is neither HTTP/1.1 nor HTTP/1.0");
    }

    private static Optional<Violation> checkTarget(HttpRequest request) {
        // The HTTP client would encode other characters in another way than the caller did.
        boolean printable = request.uri()
                .chars()
                .allMatch(character -> character >= FIRST_PRINTABLE && character <= LAST_PRINTABLE);
        return printable ? Optional.empty() : invalid("the request target has bytes that are not printable ASCII");
    }

    private static Optional<Violation> checkBody(HttpRequest request, int lengths) {
        HttpHeaders headers = request.headers();
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (lengths > 1) {
            return invalid("more than one content-length");
        }
        if (codings.isEmpty()) {
            // The decoder would read a body of eight bytes for a draft of the WebSocket protocol.
            boolean unframed = lengths == 0
                    && headers.contains(HttpHeaderNames.SEC_WEBSOCKET_KEY1)
                    && headers.contains(HttpHeaderNames.SEC_WEBSOCKET_KEY2);
            return unframed ? invalid("a body without content-length and transfer-encoding") : Optional.empty();
        }
        if (lengths > 0) {
            return invalid("both content-length and transfer-encoding");
        }
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return invalid("transfer-encoding in HTTP/1.0");
        }
        boolean chunked = codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        return chunked ? Optional.empty() : invalid("a transfer-encoding other than chunked");
    }

    private static Optional<Violation> checkHost(HttpRequest request) {
        List<String> hosts = request.headers().getAll(HttpHeaderNames.HOST);
        if (hosts.size() > 1) {
            return invalid("more than one host");
        }
        if (request.uri().startsWith("/") || hosts.isEmpty()) {
            return Optional.empty();
        }
        boolean same = authority(request.uri())
                .map(authority -> authority.equals(hosts.get(0).toLowerCase(Locale.ROOT)))
                .orElse(true);
        return same ? Optional.empty() : invalid("the request target names another host");
    }

    private static Optional<String> authority(String absoluteTarget) {
        try {
            return Optional.ofNullable(new URI(absoluteTarget).getRawAuthority())
                    .map(authority -> authority.toLowerCase(Locale.ROOT));
        } catch (URISyntaxException exception) {
            // Matches no host.
            return Optional.of("");
        }
    }

    private static Optional<Violation> checkExpectation(HttpHeaders headers) {
        boolean known = headers.getAll(HttpHeaderNames.EXPECT).stream()
                .allMatch(HttpHeaderValues.CONTINUE::contentEqualsIgnoreCase);
        return known
                ? Optional.empty()
                : Optional.of(new Violation(ErrorKind.EXPECTATION_FAILED, "an expectation other than 100-continue"));
    }

    /** Returns a violation that is answered with 400. */
    static Optional<Violation> invalid(String detail) {
        return Optional.of(new Violation(ErrorKind.INVALID_REQUEST, detail));
    }
}
