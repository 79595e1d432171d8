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

/** Guards targets against bad requests: each gets its error from the table, and no target hears of it. */
class CallerInputContractTest {
    private static final FaultServer.Log LOG = new FaultServer.Log();
    private static final String KEY = "authorization: Bearer " + GatewayFixture.KEY + "\r\n";
    private static final String STREAM = "{\"model\":\"draft\",\"stream\":true,\"messages\":[]}";

    private static FaultServer target;
    private static GatewayFixture gateway;

    @BeforeAll
    static void start() throws Exception {
        target = new FaultServer(LOG, (number, request, connection) -> ScriptedEngine.good(request, connection));
        gateway = GatewayFixture.start("", target.port());
    }

    @AfterAll
    static void stop() throws IOException {
        gateway.close();
        target.close();
    }

    @AfterEach
    void noTargetHeardOfTheRequest() {
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
    void malformedBodiesAreRefused(String body, int status, String code) throws Exception {
        HttpResponse<String> answer = gateway.post("/v1/chat/completions", body == null ? "" : body);
        assertEquals(status, answer.statusCode(), answer.body());
        assertTrue(answer.body().contains("\"code\":\"" + code + "\""), answer.body());
        assertTrue(answer.body().contains("\"run_state\":\"NOT_RUN\""), answer.body());
    }

    static Stream<List<String>> malformedRequests() {
        String post = "POST /billing HTTP/1.1\r\nhost: t\r\n" + KEY;
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
                List.of("405 ", "method_not_allowed", "PUT /billing HTTP/1.1\r\nhost: t\r\n" + KEY + "\r\n"),
                List.of("404 ", "unknown_route", "GET /none HTTP/1.1\r\nhost: t\r\n" + KEY + "\r\n"),
                List.of("400 ", "invalid_request", post + "x-fireflywalk-deadline-ms: 0\r\ncontent-length: 0\r\n\r\n"),
                List.of("400 ", "invalid_request", post + "x-fireflywalk-deadline-ms: x\r\ncontent-length: 0\r\n\r\n"),
                List.of("408 ", "slow_sender", post + "content-length: 5\r\n\r\nab"),
                List.of(
                        "408 ",
                        "slow_sender",
                        "POST /v1/completions HTTP/1.1\r\nhost: t\r\n" + KEY + "content-length: 50\r\n\r\n{"));
    }

    @ParameterizedTest
    @MethodSource("malformedRequests")
    void malformedRequestsAreRefused(List<String> row) throws Exception {
        String answer = gateway.raw(row.get(2), 1500);
        assertTrue(answer.matches("(?s)HTTP/1\\.[01] " + row.get(0) + ".*"), answer);
        assertTrue(answer.contains("\"code\":\"" + row.get(1) + "\""), answer);
        assertTrue(answer.contains("\"run_state\":\"NOT_RUN\""), answer);
        assertFalse(answer.contains("secret-of-the-key"), answer);
    }

    @Test
    void bodiesBeyondTheMemoryBudgetAreRefusedAndTheBudgetRecovers() throws Exception {
        String head = "POST /v1/completions HTTP/1.1\r\nhost: t\r\n" + KEY + "content-length: 90000\r\n\r\n";
        byte[] part = (head + "{" + " ".repeat(80_000)).getBytes(StandardCharsets.UTF_8);
        try (Socket first = open();
                Socket second = open()) {
            first.getOutputStream().write(part);
            second.getOutputStream().write(part);
            second.setSoTimeout(2000);
            String answers = GatewayFixture.readAll(second);
            first.setSoTimeout(2000);
            answers += GatewayFixture.readAll(first);
            assertTrue(answers.contains("\"code\":\"memory_exhausted\""), answers);
        }
        for (int check = 0; check < 200 && !budgetIsFree(); check++) {
            Thread.sleep(10);
        }
        assertTrue(budgetIsFree());
    }

    @Test
    void connectionsBeyondTheLimitGetAnErrorAndSilentOnesAreClosed() throws Exception {
        List<Socket> open = new ArrayList<>();
        try {
            for (int count = 0; count < 20; count++) {
                open.add(open());
            }
            String answer = gateway.raw("GET /v1/models HTTP/1.1\r\nhost: t\r\n" + KEY + "\r\n", 2000);
            assertTrue(answer.contains("\"code\":\"connection_limit\""), answer);
            open.get(0).setSoTimeout(4000);
            assertEquals(-1, open.get(0).getInputStream().read(), "a silent connection was not closed");
        } finally {
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    @Test
    void aCallerThatStopsInTheMiddleOfItsBodyReleasesItsMemory() throws Exception {
        try (Socket caller = open()) {
            String request = GatewayFixture.completion(STREAM);
            caller.getOutputStream()
                    .write(request.substring(0, request.length() - 5).getBytes(StandardCharsets.UTF_8));
        }
        for (int check = 0; check < 200 && !budgetIsFree(); check++) {
            Thread.sleep(10);
        }
        assertTrue(budgetIsFree());
    }

    private static boolean budgetIsFree() throws IOException, InterruptedException {
        return gateway.metrics().body().contains("fireflywalk_body_memory_bytes 0\n");
    }

    private static Socket open() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), gateway.callerPort());
    }
}
