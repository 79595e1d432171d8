package io.fireflywalk.daemon.gateway;

import java.io.IOException;

/** Answers of a correct engine, and faults in the middle of its streams. Streams have eight tokens. */
final class ScriptedEngine {
    static final int TOKENS = 8;
    static final String WHOLE = "{\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":8}}";

    /** What goes wrong with the first stream after three tokens. */
    enum StreamFault {
        RESET,
        CLOSE_WITHOUT_LAST_CHUNK,
        END_WITHOUT_MARKER,
        STALL,
        REPEATED_TOKEN,
        MISSING_TOKEN,
        UNNUMBERED_TEXT,
        GARBAGE_EVENT,
        ERROR_EVENT,
        BREAK_AFTER_FINISH,
        BREAK_WITHIN_EVENT
    }

    private ScriptedEngine() {}

    /** Streams or answers as a whole, as the request asks. */
    static boolean good(FaultServer.Request request, FaultServer.Connection connection) throws IOException {
        if (!request.body().contains("\"stream\":true")) {
            connection.write("HTTP/1.1 200 OK\r\nx-attempt-id: " + request.attemptId()
                    + "\r\ncontent-type: application/json\r\ncontent-length: " + WHOLE.length() + "\r\n\r\n" + WHOLE);
            return true;
        }
        int first = request.header("last-event-id")
                .map(last -> Integer.parseInt(last) + 1)
                .orElse(0);
        head(request, connection);
        connection.chunk(opening());
        for (int index = first; index < TOKENS; index++) {
            connection.chunk(token(index));
        }
        connection.chunk(finish() + "data: [DONE]\n\n");
        connection.write("0\r\n\r\n");
        return true;
    }

    /** Streams three tokens and then fails. */
    static boolean faulty(StreamFault fault, FaultServer.Request request, FaultServer.Connection connection)
            throws IOException {
        head(request, connection);
        connection.chunk(opening());
        int end = fault == StreamFault.BREAK_AFTER_FINISH ? TOKENS : 3;
        for (int index = 0; index < end; index++) {
            connection.chunk(token(index));
        }
        switch (fault) {
            case RESET -> {
                return connection.reset();
            }
            case CLOSE_WITHOUT_LAST_CHUNK -> {
                return false;
            }
            case END_WITHOUT_MARKER -> connection.write("0\r\n\r\n");
            case REPEATED_TOKEN -> connection.chunk(token(2) + token(3));
            case MISSING_TOKEN -> connection.chunk(token(4));
            case UNNUMBERED_TEXT -> connection.chunk(token(3).replace("id: 3\n", ""));
            case GARBAGE_EVENT -> connection.chunk("id: 3\ndata: {\"choices\":\n\n");
            case ERROR_EVENT -> connection.chunk("event: error\ndata: {}\n\n");
            case BREAK_AFTER_FINISH -> {
                connection.chunk(finish());
                return false;
            }
            case BREAK_WITHIN_EVENT -> {
                connection.chunk(token(3).substring(0, 20));
                return false;
            }
            default -> {
                // STALL: nothing more is sent.
            }
        }
        return connection.stall();
    }

    static void head(FaultServer.Request request, FaultServer.Connection connection) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\nx-attempt-id: " + request.attemptId()
                + "\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
    }

    static String token(int index) {
        return "id: " + index + "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w" + index + " \"}}]}\n\n";
    }

    private static String opening() {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\"}}]}\n\n";
    }

    private static String finish() {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"
                + "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":8}}\n\n";
    }

    /** Returns the whole stream as a caller must receive it. */
    static String unbrokenStream() {
        StringBuilder stream = new StringBuilder(opening());
        for (int index = 0; index < TOKENS; index++) {
            stream.append(token(index));
        }
        return stream + finish() + "data: [DONE]\n\n";
    }
}
