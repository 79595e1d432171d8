package io.fireflywalk.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against callers that get a response of a target or an engine whose head is invalid. */
class InvalidHeadFaultTest {
    private static final List<String> PATHS = List.of("/billing", "/status", "/v1/chat/completions");
    private static final List<String> STATUS_LINES =
            List.of("HTTP/1.1 000 Status", "HTTP/1.1 000", "HTTP/1.1 +200 Status", "HTTP/1.1 600 Status");
    private static final String BODY = "{\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":8}}";

    private static Stream<Arguments> paths(List<String> texts) {
        return texts.stream().flatMap(text -> PATHS.stream().map(path -> Arguments.of(text, path)));
    }

    static Stream<Arguments> statusLinesAndPaths() {
        return paths(STATUS_LINES);
    }

    private static void assertFailure(String statusLine, String field, String path) throws Exception {
        try (FaultServer target = new FaultServer(new FaultServer.Log(), (number, request, connection) -> {
                    connection.write(statusLine + "\r\nx-attempt-id: " + request.attemptId() + field
                            + "\r\ncontent-length: " + BODY.length() + "\r\n\r\n" + BODY);
                    return true;
                });
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            HttpResponse<String> response = gateway.post(path, "{\"model\":\"draft\",\"messages\":[]}");
            assertEquals(502, response.statusCode(), response.body());
            assertTrue(response.body().contains("\"run_state\":\"UNKNOWN\""), response.body());
        }
    }

    @ParameterizedTest
    @MethodSource("statusLinesAndPaths")
    void invalidStatusFailsTheRequest(String statusLine, String path) throws Exception {
        assertFailure(statusLine, "", path);
    }

    static Stream<Arguments> fieldLinesAndPaths() {
        return paths(List.of("x other: value", "x-other : value", "x\u0001other: value", "content-length : 3"));
    }

    @ParameterizedTest
    @MethodSource("fieldLinesAndPaths")
    void invalidFieldLineFailsTheRequest(String field, String path) throws Exception {
        assertFailure("HTTP/1.1 200 OK", "\r\n" + field, path);
    }
}
