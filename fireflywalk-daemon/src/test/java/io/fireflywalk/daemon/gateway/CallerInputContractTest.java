package io.fireflywalk.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against invalid requests that reach a target or get the wrong error. */
class CallerInputContractTest {
    private static final FaultServer.Log LOG = new FaultServer.Log();
    private static final String AUTHORIZATION = "authorization: Bearer " + GatewayFixture.KEY + "\r\n";
    private static final String STREAM_REQUEST = "{\"model\":\"draft\",\"stream\":true,\"messages\":[]}";

    private static FaultServer target;
    private static GatewayFixture gateway;

    @BeforeAll
    static void start() throws Exception {
        target = new FaultServer(LOG, (number, request, connection) -> ScriptedEngine.serve(request, connection));
        gateway = GatewayFixture.start("", target.port());
    }

    @AfterAll
    static void stop() throws IOException {
        gateway.close();
        target.close();
    }

    @AfterEach
    void noRequestReachesTarget() {
        assertEquals(0, LOG.requests.size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "''                                                         | 400 | invalid_request",
                "nonsense                                                   | 400 | invalid_json",
                "[]                                                         | 400 | invalid_request",
                "{\"model\":\"draft\"                                       | 400 | invalid_json",
                "{\"model\":\"draft\"} {}                                   | 400 | invalid_request",
                "{\"messages\":[]}                                          | 400 | invalid_request",
                "{\"model\":7}                                              | 400 | invalid_request",
                "{\"model\":null}                                           | 400 | invalid_request",
                "{\"model\":\"none\"}                                       | 404 | unknown_model",
                "{\"model\":\"billing\"}                                    | 404 | unknown_model",
                "{\"model\":\"draft\",\"model\":\"draft\"}                  | 400 | invalid_json",
                "{\"model\":\"draft\",\"options\":{\"a\":1,\"a\":2}}        | 400 | invalid_json",
                "{\"model\":\"draft\",\"stream\":\"yes\"}                   | 400 | invalid_request",
                "{\"model\":\"draft\",\"messages\":\"text\"}                | 400 | invalid_request",
                "{\"model\":\"draft\",\"prompt\":7}                         | 400 | invalid_request",
                "{\"model\":\"draft\",\"max_tokens\":0}                     | 400 | invalid_request",
                "{\"model\":\"draft\",\"max_tokens\":-1}                    | 400 | invalid_request",
                "{\"model\":\"draft\",\"max_tokens\":1001}                  | 400 | invalid_request",
                "{\"model\":\"draft\",\"max_tokens\":99999999999999999999}  | 400 | invalid_request",
                "{\"model\":\"draft\",\"max_tokens\":1.5}                   | 400 | invalid_request",
                "{\"model\":\"draft\",\"max_tokens\":\"5\"}                 | 400 | invalid_request",
                "{\"model\":\"draft\",\"n\":2}                              | 400 | invalid_request",
                "{\"model\":\"draft\",\"resume\":{}}                        | 400 | invalid_request"
            })
    void rejectsInvalidBodies(String body, int status, String code) throws Exception {
        HttpResponse<String> response = gateway.post("/v1/chat/completions", body == null ? "" : body);
        assertEquals(status, response.statusCode(), response.body());
        assertTrue(response.body().contains("\"code\":\"" + code + "\""), response.body());
        assertTrue(response.body().contains("\"run_state\":\"NOT_RUN\""), response.body());
    }

    static Stream<List<String>> invalidRequests() {
        String post = "POST /billing HTTP/1.1\r\nhost: t\r\n" + AUTHORIZATION;
        return Stream.of(
                List.of("400 ", "invalid_request", "nonsense\r\n\r\n"),
                List.of("400 ", "invalid_request", post + "content-length: 2\r\ncontent-length: 3\r\n\r\nabc"),
                List.of("400 ", "invalid_request", post + "content-length: two\r\n\r\nab"),
                List.of("400 ", "invalid_request", post + "content-length: -2\r\n\r\nab"),
                List.of("400 ", "invalid_request", post + "bad header line\r\ncontent-length: 0\r\n\r\n"),
                List.of("400 ", "invalid_request", post + "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
                List.of(
                        "400 ",
                        "invalid_request",
                        post + "content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"),
                List.of("413 ", "body_too_large", post + "content-length: 100001\r\n\r\n"),
                List.of("414 ", "url_too_long", "GET /" + "a".repeat(2000) + " HTTP/1.1\r\nhost: t\r\n\r\n"),
                List.of("431 ", "headers_too_large", post + "x-large: " + "a".repeat(5000) + "\r\n\r\n"),
                List.of("400 ", "invalid_request", "GET /status/../billing HTTP/1.1\r\nhost: t\r\n\r\n"),
                List.of("400 ", "invalid_request", "GET /status/%2e%2E/billing HTTP/1.1\r\nhost: t\r\n\r\n"),
                List.of("401 ", "missing_key", "GET /billing HTTP/1.1\r\nhost: t\r\n\r\n"),
                List.of("401 ", "unknown_key", "GET /billing HTTP/1.1\r\nhost: t\r\nx-api-key: a.b\r\n\r\n"),
                List.of("405 ", "method_not_allowed", "PUT /billing HTTP/1.1\r\nhost: t\r\n" + AUTHORIZATION + "\r\n"),
                List.of("404 ", "unknown_route", "GET /none HTTP/1.1\r\nhost: t\r\n" + AUTHORIZATION + "\r\n"),
                List.of("400 ", "invalid_request", post + "x-fireflywalk-deadline-ms: 0\r\ncontent-length: 0\r\n\r\n"),
                List.of("400 ", "invalid_request", post + "x-fireflywalk-deadline-ms: x\r\ncontent-length: 0\r\n\r\n"),
                List.of("408 ", "slow_sender", post + "content-length: 5\r\n\r\nab"),
                List.of(
                        "408 ",
                        "slow_sender",
                        "POST /v1/completions HTTP/1.1\r\nhost: t\r\n" + AUTHORIZATION
                                + "content-length: 50\r\n\r\n{"));
    }

    @ParameterizedTest
    @MethodSource("invalidRequests")
    void rejectsInvalidRequests(List<String> row) throws Exception {
        String response = gateway.raw(row.get(2), 1500);
        assertTrue(response.matches("(?s)HTTP/1\\.[01] " + row.get(0) + ".*"), response);
        assertTrue(response.contains("\"code\":\"" + row.get(1) + "\""), response);
        assertTrue(response.contains("\"run_state\":\"NOT_RUN\""), response);
        assertFalse(response.contains("secret-of-the-key"), response);
    }

    @Test
    void rejectsBodiesBeyondMemoryBudgetAndReleasesMemory() throws Exception {
        String head = "POST /v1/completions HTTP/1.1\r\nhost: t\r\n" + AUTHORIZATION + "content-length: 90000\r\n\r\n";
        byte[] incompleteRequest = (head + "{" + " ".repeat(80_000)).getBytes(StandardCharsets.UTF_8);
        try (Socket first = connect();
                Socket second = connect()) {
            first.getOutputStream().write(incompleteRequest);
            second.getOutputStream().write(incompleteRequest);
            second.setSoTimeout(2000);
            String responses = GatewayFixture.readAll(second);
            first.setSoTimeout(2000);
            responses += GatewayFixture.readAll(first);
            assertTrue(responses.contains("\"code\":\"memory_exhausted\""), responses);
        }
        for (int check = 0; check < 200 && !bodyMemoryIsReleased(); check++) {
            Thread.sleep(10);
        }
        assertTrue(bodyMemoryIsReleased());
    }

    @Test
    void rejectsConnectionsBeyondLimitAndClosesIdleOnes() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int count = 0; count < 20; count++) {
                sockets.add(connect());
            }
            String response = gateway.raw("GET /v1/models HTTP/1.1\r\nhost: t\r\n" + AUTHORIZATION + "\r\n", 2000);
            assertTrue(response.contains("\"code\":\"connection_limit\""), response);
            sockets.get(0).setSoTimeout(4000);
            assertEquals(-1, sockets.get(0).getInputStream().read(), "the idle connection was not closed");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Test
    void releasesMemoryOfIncompleteBody() throws Exception {
        try (Socket caller = connect()) {
            String request = GatewayFixture.completion(STREAM_REQUEST);
            caller.getOutputStream()
                    .write(request.substring(0, request.length() - 5).getBytes(StandardCharsets.UTF_8));
        }
        for (int check = 0; check < 200 && !bodyMemoryIsReleased(); check++) {
            Thread.sleep(10);
        }
        assertTrue(bodyMemoryIsReleased());
    }

    private static boolean bodyMemoryIsReleased() throws IOException, InterruptedException {
        return gateway.metrics().body().contains("fireflywalk_body_memory_bytes 0\n");
    }

    private static Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), gateway.callerPort());
    }
}
