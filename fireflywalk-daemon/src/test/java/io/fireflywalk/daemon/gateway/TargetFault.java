package io.fireflywalk.daemon.gateway;

import java.io.IOException;

/**
 * Faults of a target. {@code REFUSED} statuses carry {@code x-engine-admitted: false}, {@code UNMARKED} ones do not;
 * {@code CROSSED_REFUSAL} is a rejection of another attempt, and {@code NO_END_MARK} a body that only a closed
 * connection delimits.
 */
enum TargetFault {
    RESET_AFTER_REQUEST,
    CLOSE_AFTER_REQUEST,
    RESET_AFTER_FIRST_BYTE,
    STALL_BEFORE_HEAD,
    STALL_IN_HEAD,
    STALL_AFTER_HEAD,
    STALL_IN_BODY,
    TRUNCATED_LENGTH,
    TRUNCATED_CHUNKS,
    NO_END_MARK,
    WRONG_ATTEMPT_ID,
    CROSSED_REFUSAL,
    REFUSED_503,
    REFUSED_429,
    UNMARKED_503,
    UNMARKED_429,
    STATUS_500,
    MALFORMED_HEAD;

    /** Responds to the request with the fault. */
    boolean serve(FaultServer.Request request, FaultServer.Connection connection) throws IOException {
        String id = "x-attempt-id: " + request.attemptId() + "\r\n";
        switch (this) {
            case RESET_AFTER_REQUEST -> {
                return connection.reset();
            }
            case CLOSE_AFTER_REQUEST -> {
                return false;
            }
            case RESET_AFTER_FIRST_BYTE -> {
                connection.write("H");
                return connection.reset();
            }
            case STALL_BEFORE_HEAD -> {
                return connection.stall();
            }
            case STALL_IN_HEAD -> connection.write("HTTP/1.1 200 OK\r\n" + id);
            case STALL_AFTER_HEAD -> connection.write("HTTP/1.1 200 OK\r\n" + id + "content-length: 20\r\n\r\n");
            case STALL_IN_BODY ->
                connection.write("HTTP/1.1 200 OK\r\n" + id + "content-length: 20\r\n\r\n{\"partial\":");
            case TRUNCATED_LENGTH -> {
                connection.write("HTTP/1.1 200 OK\r\n" + id + "content-length: 20\r\n\r\n{\"partial\":");
                return false;
            }
            case TRUNCATED_CHUNKS -> {
                connection.write("HTTP/1.1 200 OK\r\n" + id + "transfer-encoding: chunked\r\n\r\n");
                connection.chunk("{\"partial\":");
                return false;
            }
            case NO_END_MARK -> {
                connection.write("HTTP/1.1 200 OK\r\n" + id + "connection: close\r\n\r\n{}");
                return false;
            }
            case WRONG_ATTEMPT_ID ->
                connection.write("HTTP/1.1 200 OK\r\nx-attempt-id: another\r\ncontent-length: 2\r\n\r\n{}");
            case CROSSED_REFUSAL ->
                connection.write(status(503, "x-attempt-id: another\r\nx-engine-admitted: false\r\n"));
            case REFUSED_503 -> connection.write(status(503, id + "x-engine-admitted: false\r\n"));
            case REFUSED_429 -> connection.write(status(429, id + "x-engine-admitted: false\r\n"));
            case UNMARKED_503 -> connection.write(status(503, id));
            case UNMARKED_429 -> connection.write(status(429, id));
            case STATUS_500 -> connection.write(status(500, id));
            // MALFORMED_HEAD
            default -> connection.write("HTTP/9 what\r\n\r\n");
        }
        return connection.stall();
    }

    private static String status(int status, String headers) {
        return "HTTP/1.1 " + status + " Status\r\n" + headers + "content-length: 2\r\n\r\n{}";
    }
}
