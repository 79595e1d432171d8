package io.fireflywalk.daemon.gateway;

import java.io.IOException;

/** Responses of a correct engine, and faults in the middle of its streams. Streams have eight tokens. */
final class ScriptedEngine {
    static final int TOKENS = 8;
    static final String COMPLETION_BODY = "{\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":8}}";

    /** Faults of a stream after three tokens; with {@link #BREAK_AFTER_FINISH}, after all eight. */
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

    /** Serves a streamed or a non-streamed response, as requested. */
    static boolean serve(FaultServer.Request request, FaultServer.Connection connection) throws IOException {
        if (!request.body().contains("\"stream\":true")) {
            connection.write("HTTP/1.1 200 OK\r\nx-attempt-id: " + request.attemptId()
                    + "\r\ncontent-type: application/json\r\ncontent-length: " + COMPLETION_BODY.length() + "\r\n\r\n"
                    + COMPLETION_BODY);
            return true;
        }
        int firstToken = request.header("last-event-id")
                .map(last -> Integer.parseInt(last) + 1)
                .orElse(0);
        writeStreamHead(request, connection);
        connection.chunk(roleEvent());
        for (int index = firstToken; index < TOKENS; index++) {
            connection.chunk(tokenEvent(index));
        }
        connection.chunk(finishEvent() + "data: [DONE]\n\n");
        connection.write("0\r\n\r\n");
        return true;
    }

    /** Streams the tokens that precede the fault, and then the fault. */
    static boolean serveWithFault(StreamFault fault, FaultServer.Request request, FaultServer.Connection connection)
            throws IOException {
        writeStreamHead(request, connection);
        connection.chunk(roleEvent());
        int sentTokens = fault == StreamFault.BREAK_AFTER_FINISH ? TOKENS : 3;
        for (int index = 0; index < sentTokens; index++) {
            connection.chunk(tokenEvent(index));
        }
        switch (fault) {
            case RESET -> {
                return connection.reset();
            }
            case CLOSE_WITHOUT_LAST_CHUNK -> {
                return false;
            }
            case END_WITHOUT_MARKER -> connection.write("0\r\n\r\n");
            case REPEATED_TOKEN -> connection.chunk(tokenEvent(2) + tokenEvent(3));
            case MISSING_TOKEN -> connection.chunk(tokenEvent(4));
            case UNNUMBERED_TEXT -> connection.chunk(tokenEvent(3).replace("id: 3\n", ""));
            case GARBAGE_EVENT -> connection.chunk("id: 3\ndata: {\"choices\":\n\n");
            case ERROR_EVENT -> connection.chunk("event: error\ndata: {}\n\n");
            case BREAK_AFTER_FINISH -> {
                connection.chunk(finishEvent());
                return false;
            }
            case BREAK_WITHIN_EVENT -> {
                connection.chunk(tokenEvent(3).substring(0, 20));
                return false;
            }
            default -> {
                // STALL: nothing more is sent.
            }
        }
        return connection.stall();
    }

    static void writeStreamHead(FaultServer.Request request, FaultServer.Connection connection) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\nx-attempt-id: " + request.attemptId()
                + "\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
    }

    static String tokenEvent(int index) {
        return "id: " + index + "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w" + index + " \"}}]}\n\n";
    }

    private static String roleEvent() {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\"}}]}\n\n";
    }

    private static String finishEvent() {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"
                + "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":8}}\n\n";
    }

    /** Returns the complete stream that a caller must receive. */
    static String expectedStream() {
        StringBuilder stream = new StringBuilder(roleEvent());
        for (int index = 0; index < TOKENS; index++) {
            stream.append(tokenEvent(index));
        }
        return stream + finishEvent() + "data: [DONE]\n\n";
    }
}
