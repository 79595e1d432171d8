package io.fireflywalk.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against duplicate execution, wrong run states and undetected truncation of responses when targets of plain
 * services fail.
 */
class PlainFaultContractTest {
    /**
     * Longer than reuseIdleMilliseconds of the fixture, 2 s. That in turn is far longer than the time between two calls
     * of a test, which includes up to 250 ms for which the end of a response is held back.
     */
    private static final long BEYOND_REUSE_IDLE_MILLISECONDS = 2500;

    private static final String RESPONSE_BODY = "{\"good\":true}";

    @ParameterizedTest
    @CsvSource({
        "RESET_AFTER_REQUEST,    502, UNKNOWN, target_failed",
        "CLOSE_AFTER_REQUEST,    502, UNKNOWN, target_failed",
        "RESET_AFTER_FIRST_BYTE, 502, UNKNOWN, target_failed",
        "STALL_BEFORE_HEAD,      504, UNKNOWN, target_silent",
        "STALL_IN_HEAD,          504, UNKNOWN, target_silent",
        "STALL_AFTER_HEAD,       504, RUN,     target_silent",
        "NO_END_MARK,            502, RUN,     target_protocol",
        "WRONG_ATTEMPT_ID,       502, UNKNOWN, target_protocol",
        "CROSSED_REFUSAL,        502, UNKNOWN, target_protocol",
        "MALFORMED_HEAD,         502, UNKNOWN, target_failed",
        "UNMARKED_503,           503, UNKNOWN, ''",
        "UNMARKED_429,           429, UNKNOWN, ''",
        "STATUS_500,             500, UNKNOWN, ''"
    })
    void sendsNonIdempotentRequestOnce(TargetFault fault, int status, String runState, String code) throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer first = failingOnce(log, fault);
                FaultServer second = failingOnce(log, fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> response = gateway.post("/billing/entries", "entry");
            assertEquals(status, response.statusCode(), response.body());
            assertEquals(
                    runState,
                    response.headers().firstValue("x-fireflywalk-run-state").orElse("none"));
            if (!code.isEmpty()) {
                assertTrue(response.body().contains("\"run_state\":\"" + runState + "\""), response.body());
                assertTrue(response.body().contains("\"code\":\"" + code + "\""), response.body());
            }
            assertEquals(1, log.requests.size(), "the request was sent again");
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = TargetFault.class,
            names = {"STALL_IN_BODY", "TRUNCATED_LENGTH", "TRUNCATED_CHUNKS"})
    void truncatedResponseNeverLooksComplete(TargetFault fault) throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer first = failingOnce(log, fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port())) {
            String response = gateway.raw(
                    "POST /billing HTTP/1.1\r\nhost: t\r\nx-api-key: " + GatewayFixture.KEY
                            + "\r\ncontent-length: 1\r\n\r\nx",
                    3000);
            assertTrue(response.contains("{\"partial\":"), response);
            assertFalse(response.endsWith("0\r\n\r\n"), response);
            assertFalse(response.contains("event: error"), response);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"REFUSED_503", "REFUSED_429"})
    void retriesRejectedRequestOnAnotherTarget(String fault) throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer first = failingOnce(log, TargetFault.valueOf(fault));
                FaultServer second = failingOnce(log, TargetFault.valueOf(fault));
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> response = gateway.post("/billing/entries", "entry");
            assertEquals(RESPONSE_BODY, response.body());
            assertEquals(2, log.requests.size());
            assertEquals("entry", log.requests.get(1).body());
        }
    }

    @Test
    void reportsNotRunWhenAllTargetsReject() throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer target = new FaultServer(
                        log, (number, request, connection) -> TargetFault.REFUSED_503.serve(request, connection));
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            HttpResponse<String> response = gateway.post("/billing/entries", "entry");
            assertEquals(503, response.statusCode());
            assertTrue(response.body().contains("\"run_state\":\"NOT_RUN\""), response.body());
        }
    }

    @Test
    void retriesOnAnotherTargetWhenConnectionIsRefused() throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer target = new FaultServer(log, PlainFaultContractTest::serveCorrectly);
                GatewayFixture partlyReachable = GatewayFixture.start("", FaultServer.closedPort(), target.port());
                GatewayFixture unreachable = GatewayFixture.start("", FaultServer.closedPort())) {
            for (int request = 1; request <= 8; request++) {
                assertEquals(
                        RESPONSE_BODY,
                        partlyReachable.post("/billing/entries", "entry").body());
                assertEquals(request, log.requests.size());
            }
            HttpResponse<String> response = unreachable.post("/billing/entries", "entry");
            assertEquals(502, response.statusCode());
            assertTrue(response.body().contains("\"run_state\":\"NOT_RUN\""), response.body());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = TargetFault.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"STALL_IN_BODY", "TRUNCATED_LENGTH", "TRUNCATED_CHUNKS"})
    void retriesIdempotentRequest(TargetFault fault) throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer first = failingOnce(log, fault);
                FaultServer second = failingOnce(log, fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> response = gateway.post("/status/orders", "query");
            assertEquals(200, response.statusCode(), response.body());
            assertEquals(RESPONSE_BODY, response.body());
            assertEquals(2, log.requests.size());
        }
    }

    @Test
    void sendsNoNonIdempotentRequestOverLongIdleConnection() throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer target = new FaultServer(log, (number, request, connection) -> {
                    connection.write(response(request, true));
                    return true;
                });
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            assertEquals("first", gateway.post("/billing", "first").body());
            // The first response tells that the target names attempts; the connection that it came on is closed.
            int known = log.connections.get();
            assertEquals("a", gateway.post("/billing", "a").body());
            assertEquals("b", gateway.post("/billing", "b").body());
            assertEquals(known + 1, log.connections.get(), "the recently used connection was not reused");
            Thread.sleep(BEYOND_REUSE_IDLE_MILLISECONDS);
            assertEquals("c", gateway.post("/status", "c").body());
            assertEquals(known + 1, log.connections.get(), "an idempotent request did not reuse the connection");
            Thread.sleep(BEYOND_REUSE_IDLE_MILLISECONDS);
            assertEquals("d", gateway.post("/billing", "d").body());
            assertEquals(known + 2, log.connections.get(), "the idle connection was reused");
        }
    }

    @Test
    void streamsLargeBodyAndSendsItOnce() throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer target = new FaultServer(log, PlainFaultContractTest::serveCorrectly);
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            String body = "x".repeat(99_000);
            assertEquals(RESPONSE_BODY, gateway.post("/billing", body).body());
            assertEquals(body, log.requests.get(0).body());
        }
    }

    @Test
    void dropsKeysAndIdentityHeadersAndForwardsOtherCookies() throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer target = new FaultServer(log, PlainFaultContractTest::serveCorrectly);
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            String key = GatewayFixture.KEY;
            gateway.post(
                    "/billing?page=2&api_key=" + key + "&other=" + key + "&encoded=" + key.replace(".", "%2E"),
                    "entry",
                    "cookie",
                    "session=keep; x-api-key=" + key + "; copy=" + key,
                    "x-copy",
                    "text " + key,
                    "x-client-account",
                    "another",
                    "x-forwarded-user",
                    "someone",
                    "x-attempt-id",
                    "forged");
            FaultServer.Request received = log.requests.get(0);
            assertEquals("POST /billing?page=2 HTTP/1.1", received.line());
            assertFalse(received.toString().contains("secret-of-the-key"), received.toString());
            assertEquals("session=keep", received.header("cookie").orElse("none"));
            assertTrue(received.header("x-client-account").isEmpty()
                    && received.header("x-forwarded-user").isEmpty());
            assertFalse(received.attemptId().equals("forged"));
            HttpResponse<String> keyInPath = gateway.post("/billing/" + key, "entry");
            assertEquals(400, keyInPath.statusCode());
            assertFalse(keyInPath.body().contains("secret-of-the-key"), keyInPath.body());
            assertEquals(1, log.requests.size());
        }
    }

    private static FaultServer failingOnce(FaultServer.Log log, TargetFault fault) throws Exception {
        return new FaultServer(
                log,
                (number, request, connection) ->
                        number == 1 ? fault.serve(request, connection) : serveCorrectly(number, request, connection));
    }

    /** When a target sends its response to the first request of a connection a second time. */
    enum SecondResponse {
        AT_ONCE,
        WHILE_IDLE,
        BEFORE_NEXT
    }

    @ParameterizedTest
    @CsvSource({
        "AT_ONCE, /billing, false",
        "AT_ONCE, /status, false",
        "AT_ONCE, /billing, true",
        "AT_ONCE, /status, true",
        "WHILE_IDLE, /billing, false",
        "WHILE_IDLE, /status, false",
        "WHILE_IDLE, /billing, true",
        "WHILE_IDLE, /status, true",
        "BEFORE_NEXT, /billing, false",
        "BEFORE_NEXT, /status, false",
        "BEFORE_NEXT, /billing, true",
        "BEFORE_NEXT, /status, true"
    })
    void callerGetsNoSecondResponseToAnEarlierRequest(SecondResponse second, String path, boolean namesAttempt)
            throws Exception {
        AtomicReference<String> earlier = new AtomicReference<>("");
        Map<FaultServer.Connection, Integer> served = new ConcurrentHashMap<>();
        try (FaultServer target = new FaultServer(new FaultServer.Log(), (number, request, connection) -> {
                    String own = response(request, namesAttempt);
                    boolean reused = served.merge(connection, 1, Integer::sum) > 1;
                    boolean before = second == SecondResponse.BEFORE_NEXT && reused;
                    connection.write((before ? earlier.get() : "") + own);
                    if (second == SecondResponse.WHILE_IDLE) {
                        Thread.sleep(50);
                    }
                    if (second != SecondResponse.BEFORE_NEXT) {
                        connection.write(own);
                    }
                    earlier.set(own);
                    return true;
                });
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            for (int request = 0; request < 6; request++) {
                HttpResponse<String> response = gateway.post(path, "entry-" + request);
                if (response.statusCode() == 200) {
                    assertEquals("entry-" + request, response.body());
                }
                assertTrue(response.statusCode() == 200 || namesAttempt, response.body());
                Thread.sleep(100);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/billing", "/status"})
    void targetThatNamesOnlySomeAttemptsIsServedOn(String path) throws Exception {
        try (FaultServer target = new FaultServer(new FaultServer.Log(), (number, request, connection) -> {
                    connection.write(response(request, number == 3));
                    return true;
                });
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            for (int request = 0; request < 8; request++) {
                HttpResponse<String> response = gateway.post(path, "entry-" + request);
                assertEquals("entry-" + request, response.body());
            }
        }
    }

    /** Returns a response that repeats the body of the request. */
    private static String response(FaultServer.Request request, boolean namesAttempt) {
        return "HTTP/1.1 200 OK\r\n" + (namesAttempt ? "x-attempt-id: " + request.attemptId() + "\r\n" : "")
                + "content-length: " + request.body().length() + "\r\n\r\n" + request.body();
    }

    private static boolean serveCorrectly(int number, FaultServer.Request request, FaultServer.Connection connection)
            throws java.io.IOException {
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: " + RESPONSE_BODY.length() + "\r\n\r\n" + RESPONSE_BODY);
        return true;
    }
}
