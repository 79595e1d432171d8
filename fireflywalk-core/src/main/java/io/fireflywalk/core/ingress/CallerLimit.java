package io.fireflywalk.core.ingress;

import io.fireflywalk.core.error.ErrorKind;
import java.util.Locale;

/** Limits that protect an instance from its callers, each with the error of a request that meets it. */
public enum CallerLimit {
    /** Bytes of a head or of trailers. */
    HEAD_BYTES(ErrorKind.HEADERS_TOO_LARGE, "the head or the trailers are too long"),
    /** Lines of a head or of trailers. */
    HEAD_LINES(ErrorKind.HEADERS_TOO_LARGE, "the head or the trailers have too many lines"),
    /** Lines that continue the line before. */
    FOLDED_LINES(ErrorKind.HEADERS_TOO_LARGE, "the head or the trailers have too many folded lines"),
    /** Bytes before a request line. */
    EMPTY_LINES(ErrorKind.INVALID_REQUEST, "too many empty lines before a request"),
    /** Requests of a connection that wait for the answers to earlier ones. They are not refused; their bytes wait. */
    PIPELINED_REQUESTS(ErrorKind.QUEUE_FULL, "requests wait behind others of their connection"),
    /** Time from the first byte of a head to its end. */
    HEAD_TIME(ErrorKind.SLOW_SENDER, "the head did not arrive in time"),
    /** Open connections. */
    CONNECTIONS(ErrorKind.CONNECTION_LIMIT, "too many connections"),
    /** Memory of a connection, of an address, or of all callers, for heads. */
    MEMORY(ErrorKind.MEMORY_EXHAUSTED, "no memory for the head"),
    /** Memory of all callers, for responses that their callers do not read. */
    RESPONSE_MEMORY(ErrorKind.MEMORY_EXHAUSTED, "the response was not read, and its memory is needed for others");

    private final ErrorKind kind;
    private final String detail;

    CallerLimit(ErrorKind kind, String detail) {
        this.kind = kind;
        this.detail = detail;
    }

    /** Returns the error of a request that meets the limit. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns the text for the caller and the log. */
    public String detail() {
        return detail;
    }

    /** Returns the name in metrics and log lines. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
