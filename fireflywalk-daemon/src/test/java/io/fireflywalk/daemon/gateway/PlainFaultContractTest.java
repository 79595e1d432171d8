package io.fireflywalk.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against double execution, false run states and truncated answers of plain services under target faults. */
class PlainFaultContractTest {
    /**
     * Longer than the fixture's limit of 2 s. The limit exceeds the time between two calls of a test by far, which
     * includes the hold of an answer's end of up to 250 ms.
     */
    private static final long BEYOND_REUSE_IDLE_MILLISECONDS = 2500;

    private static final String GOOD = "{\"good\":true}";

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
    void aNonIdempotentRequestIsSentOnce(TargetFault fault, int status, String runState, String code) throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer first = server(log, fault);
                FaultServer second = server(log, fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> answer = gateway.post("/billing/entries", "entry");
            assertEquals(status, answer.statusCode(), answer.body());
            assertEquals(
                    runState,
                    answer.headers().firstValue("x-fireflywalk-run-state").orElse("none"));
            if (!code.isEmpty()) {
                assertTrue(answer.body().contains("\"run_state\":\"" + runState + "\""), answer.body());
                assertTrue(answer.body().contains("\"code\":\"" + code + "\""), answer.body());
            }
            assertEquals(1, log.requests.size(), "the request was sent again");
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = TargetFault.class,
            names = {"STALL_IN_BODY", "TRUNCATED_LENGTH", "TRUNCATED_CHUNKS"})
    void aTruncatedAnswerNeverLooksComplete(TargetFault fault) throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer first = server(log, fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port())) {
            String answer = gateway.raw(
                    "POST /billing HTTP/1.1\r\nhost: t\r\nx-api-key: " + GatewayFixture.KEY
                            + "\r\ncontent-length: 1\r\n\r\nx",
                    3000);
            assertTrue(answer.contains("{\"partial\":"), answer);
            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
            assertFalse(answer.contains("event: error"), answer);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"REFUSED_503", "REFUSED_429"})
    void aRefusedRequestGoesToAnotherTarget(String fault) throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer first = server(log, TargetFault.valueOf(fault));
                FaultServer second = server(log, TargetFault.valueOf(fault));
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> answer = gateway.post("/billing/entries", "entry");
            assertEquals(GOOD, answer.body());
            assertEquals(2, log.requests.size());
            assertEquals("entry", log.requests.get(1).body());
        }
    }

    @Test
    void refusalsByAllTargetsAreNotRun() throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer only = new FaultServer(
                        log, (number, request, connection) -> TargetFault.REFUSED_503.serve(request, connection));
                GatewayFixture gateway = GatewayFixture.start("", only.port())) {
            HttpResponse<String> answer = gateway.post("/billing/entries", "entry");
            assertEquals(503, answer.statusCode());
            assertTrue(answer.body().contains("\"run_state\":\"NOT_RUN\""), answer.body());
        }
    }

    @Test
    void aRefusedConnectionIsNotRunAndGoesElsewhere() throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer good = new FaultServer(log, PlainFaultContractTest::good);
                GatewayFixture mixed = GatewayFixture.start("", FaultServer.closedPort(), good.port());
                GatewayFixture closed = GatewayFixture.start("", FaultServer.closedPort())) {
            for (int request = 1; request <= 8; request++) {
                assertEquals(GOOD, mixed.post("/billing/entries", "entry").body());
                assertEquals(request, log.requests.size());
            }
            HttpResponse<String> answer = closed.post("/billing/entries", "entry");
            assertEquals(502, answer.statusCode());
            assertTrue(answer.body().contains("\"run_state\":\"NOT_RUN\""), answer.body());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = TargetFault.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"STALL_IN_BODY", "TRUNCATED_LENGTH", "TRUNCATED_CHUNKS"})
    void anIdempotentRequestIsRepeated(TargetFault fault) throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer first = server(log, fault);
                FaultServer second = server(log, fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> answer = gateway.post("/status/orders", "query");
            assertEquals(200, answer.statusCode(), answer.body());
            assertEquals(GOOD, answer.body());
            assertEquals(2, log.requests.size());
        }
    }

    @Test
    void aConnectionIdleBeyondTheLimitTakesNoNonIdempotentRequest() throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer good = new FaultServer(log, PlainFaultContractTest::good);
                GatewayFixture gateway = GatewayFixture.start("", good.port())) {
            assertEquals(GOOD, gateway.post("/billing", "a").body());
            assertEquals(GOOD, gateway.post("/billing", "b").body());
            assertEquals(1, log.connections.get(), "a fresh connection was not reused");
            Thread.sleep(BEYOND_REUSE_IDLE_MILLISECONDS);
            assertEquals(GOOD, gateway.post("/status", "c").body());
            assertEquals(1, log.connections.get(), "an idempotent request did not reuse the connection");
            Thread.sleep(BEYOND_REUSE_IDLE_MILLISECONDS);
            assertEquals(GOOD, gateway.post("/billing", "d").body());
            assertEquals(2, log.connections.get(), "the idle connection was reused");
        }
    }

    @Test
    void aLargeBodyIsStreamedAndSentOnce() throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer good = new FaultServer(log, PlainFaultContractTest::good);
                GatewayFixture gateway = GatewayFixture.start("", good.port())) {
            String body = "x".repeat(99_000);
            assertEquals(GOOD, gateway.post("/billing", body).body());
            assertEquals(body, log.requests.get(0).body());
        }
    }

    @Test
    void noTargetSeesKeysOrIdentityHeadersAndOtherCookiesPass() throws Exception {
        FaultServer.Log log = new FaultServer.Log();
        try (FaultServer good = new FaultServer(log, PlainFaultContractTest::good);
                GatewayFixture gateway = GatewayFixture.start("", good.port())) {
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
            FaultServer.Request seen = log.requests.get(0);
            assertEquals("POST /billing?page=2 HTTP/1.1", seen.line());
            assertFalse(seen.toString().contains("secret-of-the-key"), seen.toString());
            assertEquals("session=keep", seen.header("cookie").orElse("none"));
            assertTrue(seen.header("x-client-account").isEmpty()
                    && seen.header("x-forwarded-user").isEmpty());
            assertFalse(seen.attemptId().equals("forged"));
            HttpResponse<String> inPath = gateway.post("/billing/" + key, "entry");
            assertEquals(400, inPath.statusCode());
            assertFalse(inPath.body().contains("secret-of-the-key"), inPath.body());
            assertEquals(1, log.requests.size());
        }
    }

    private static FaultServer server(FaultServer.Log log, TargetFault fault) throws Exception {
        return new FaultServer(
                log,
                (number, request, connection) ->
                        number == 1 ? fault.serve(request, connection) : good(number, request, connection));
    }

    private static boolean good(int number, FaultServer.Request request, FaultServer.Connection connection)
            throws java.io.IOException {
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: " + GOOD.length() + "\r\n\r\n" + GOOD);
        return true;
    }
}
