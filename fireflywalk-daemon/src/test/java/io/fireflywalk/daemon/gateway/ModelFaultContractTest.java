package io.fireflywalk.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against incomplete, repeated, crossed and endless answers of models under engine faults. */
class ModelFaultContractTest {
    private static final String STREAM = "{\"model\":\"draft\",\"stream\":true,\"messages\":[]}";
    private static final String WHOLE = "{\"model\":\"draft\",\"messages\":[]}";
    private static final String PATH = "/v1/chat/completions";

    private final FaultServer.Log log = new FaultServer.Log();

    @ParameterizedTest
    @EnumSource
    void aStreamThatFailsBeforeItsFirstTokenIsRetried(TargetFault fault) throws Exception {
        try (FaultServer first = failingOnce(fault);
                FaultServer second = failingOnce(fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> answer = gateway.post(PATH, STREAM);
            assertEquals(200, answer.statusCode(), answer.body());
            assertEquals(ScriptedEngine.unbrokenStream(), withoutComments(answer.body()));
            assertEquals(2, log.requests.size());
            assertTrue(log.requests.get(1).header("last-event-id").isEmpty());
        }
    }

    @ParameterizedTest
    @EnumSource
    void aWholeAnswerIsRetriedFromTheStart(TargetFault fault) throws Exception {
        try (FaultServer first = failingOnce(fault);
                FaultServer second = failingOnce(fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> answer = gateway.post(PATH, WHOLE);
            assertEquals(200, answer.statusCode(), answer.body());
            assertEquals(ScriptedEngine.WHOLE, answer.body());
            assertEquals(
                    "RUN",
                    answer.headers().firstValue("x-fireflywalk-run-state").orElse("none"));
            assertEquals(2, log.requests.size());
        }
    }

    @ParameterizedTest
    @EnumSource
    void aStreamThatFailsInItsMiddleIsResumedWithoutGapOrRepeat(ScriptedEngine.StreamFault fault) throws Exception {
        try (FaultServer first = breakingOnce(fault);
                FaultServer second = breakingOnce(fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> answer = gateway.post(PATH, STREAM);
            String expected = ScriptedEngine.unbrokenStream();
            String received = withoutComments(answer.body());
            if (fault == ScriptedEngine.StreamFault.BREAK_AFTER_FINISH) {
                // The opening event of the resume may precede the end; no token comes twice.
                received = received.replaceFirst("(?s)(w7 .*?\n\n)data: [^\n]*role[^\n]*\n\n", "$1");
            }
            assertEquals(expected, received);
            assertEquals(2, log.requests.size());
            FaultServer.Request resume = log.requests.get(1);
            int tokens = fault == ScriptedEngine.StreamFault.BREAK_AFTER_FINISH ? 8 : 3;
            assertEquals(
                    Integer.toString(tokens - 1), resume.header("last-event-id").orElse("none"));
            assertTrue(resume.body().contains("\"resume\":{\"generated_text\":\"w0 w1 w2 "), resume.body());
            assertTrue(gateway.metrics().body().contains("fireflywalk_resumes_total 1"));
        }
    }

    @ParameterizedTest
    @EnumSource
    void aStreamThatCannotBeResumedEndsWithAnErrorAndClosedConnection(ScriptedEngine.StreamFault fault)
            throws Exception {
        FaultServer.Behaviour always = (number, request, connection) -> number == 1
                ? ScriptedEngine.faulty(fault, request, connection)
                : TargetFault.STATUS_500.serve(request, connection);
        try (FaultServer only = new FaultServer(log, always);
                GatewayFixture gateway = GatewayFixture.start("", only.port())) {
            String answer = gateway.raw(GatewayFixture.completion(STREAM), 5000);
            assertTrue(answer.contains("event: error\ndata: {\"error\""), answer);
            assertTrue(answer.contains("\"run_state\":\"RUN\""), answer);
            assertFalse(answer.contains("[DONE]"), answer);
            assertFalse(answer.endsWith("0\r\n\r\n"), "the chunked body looks complete");
        }
    }

    @Test
    void theAttemptsOfRequestAreBounded() throws Exception {
        FaultServer.Behaviour never =
                (number, request, connection) -> TargetFault.RESET_AFTER_REQUEST.serve(request, connection);
        try (FaultServer first = new FaultServer(log, never);
                FaultServer second = new FaultServer(log, never);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> answer = gateway.post(PATH, WHOLE);
            assertEquals(502, answer.statusCode());
            assertTrue(answer.body().contains("\"run_state\":\"UNKNOWN\""), answer.body());
            assertEquals(4, log.requests.size());
        }
    }

    @Test
    void theDeadlineIsPassedOnAndBoundsAllAttempts() throws Exception {
        FaultServer.Behaviour stall = (number, request, connection) -> connection.stall();
        try (FaultServer only = new FaultServer(log, stall);
                GatewayFixture gateway = GatewayFixture.start("", only.port())) {
            long start = System.nanoTime();
            HttpResponse<String> answer = gateway.post(PATH, WHOLE, "x-fireflywalk-deadline-ms", "600");
            long milliseconds = (System.nanoTime() - start) / 1_000_000;
            assertEquals(504, answer.statusCode());
            assertTrue(milliseconds < 1500, "took " + milliseconds + " ms");
            long passedOn =
                    Long.parseLong(log.requests.get(0).header("x-deadline-ms").orElseThrow());
            assertTrue(passedOn > 0 && passedOn <= 600, "passed on " + passedOn);
        }
    }

    @Test
    void aWaitingCallerGetsCommentsAndAnEngineIsToldWhenItLeaves() throws Exception {
        AtomicInteger closed = new AtomicInteger();
        FaultServer.Behaviour slow = (number, request, connection) -> {
            ScriptedEngine.head(request, connection);
            connection.chunk(ScriptedEngine.token(0));
            Thread.sleep(300);
            connection.chunk(ScriptedEngine.token(1));
            connection.stall();
            closed.incrementAndGet();
            return false;
        };
        try (FaultServer only = new FaultServer(log, slow);
                GatewayFixture gateway = GatewayFixture.start("", only.port())) {
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), gateway.callerPort())) {
                caller.getOutputStream().write(GatewayFixture.completion(STREAM).getBytes(StandardCharsets.UTF_8));
                caller.setSoTimeout(1000);
                StringBuilder received = new StringBuilder();
                while (received.indexOf(": waiting\n\n") < 0) {
                    received.append((char) caller.getInputStream().read());
                }
            }
            await(() -> log.cancellations.size() == 1 && closed.get() == 1);
            String attempt = log.requests.get(0).attemptId();
            assertEquals(
                    "DELETE /engine/v1/requests/" + attempt + " HTTP/1.1",
                    log.cancellations.get(0).line());
        }
    }

    @Test
    void aSlowReaderGetsTheWholeStreamAndIsNotTakenForSilentEngine() throws Exception {
        // More than the sockets' buffers hold.
        int tokens = 300_000;
        AtomicInteger sent = new AtomicInteger();
        FaultServer.Behaviour fast = (number, request, connection) -> {
            ScriptedEngine.head(request, connection);
            for (int index = 0; index < tokens; index++) {
                connection.chunk(ScriptedEngine.token(index));
                sent.incrementAndGet();
            }
            connection.chunk("data: [DONE]\n\n");
            connection.write("0\r\n\r\n");
            return true;
        };
        try (FaultServer only = new FaultServer(log, fast);
                GatewayFixture gateway = GatewayFixture.start("", only.port());
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), gateway.callerPort())) {
            String request =
                    GatewayFixture.completion(STREAM).replace("host: ", "x-fireflywalk-deadline-ms: 60000\r\nhost: ");
            caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            int before = -1;
            while (sent.get() != before) {
                before = sent.get();
                // Longer than the limit between two pieces of an answer.
                Thread.sleep(600);
            }
            assertTrue(before > 0 && before < tokens, "the engine was not slowed down");
            caller.setSoTimeout(1000);
            String answer = GatewayFixture.readAll(caller);
            String tail = answer.substring(Math.max(0, answer.length() - 500));
            assertTrue(tail.contains("id: " + (tokens - 1) + "\n") && tail.contains("data: [DONE]"), tail);
            assertEquals(1, log.requests.size());
        }
    }

    @Test
    void aCallerThatTakesNothingIsCutOffAtItsDeadline() throws Exception {
        FaultServer.Behaviour endless = (number, request, connection) -> {
            ScriptedEngine.head(request, connection);
            for (int index = 0; index < 1_000_000; index++) {
                connection.chunk(ScriptedEngine.token(index));
            }
            return false;
        };
        try (FaultServer only = new FaultServer(log, endless);
                GatewayFixture gateway = GatewayFixture.start("", only.port());
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), gateway.callerPort())) {
            caller.getOutputStream().write(GatewayFixture.completion(STREAM).getBytes(StandardCharsets.UTF_8));
            await(() -> inFlight(gateway) == 1);
            // The default deadline of the service is 5 s.
            for (int check = 0; check < 800 && inFlight(gateway) > 0; check++) {
                Thread.sleep(10);
            }
            assertEquals(0, inFlight(gateway));
        }
    }

    @Test
    void lateSecondAnswersReachNoOtherCaller() throws Exception {
        FaultServer.Behaviour twice = (number, request, connection) -> {
            ScriptedEngine.good(request, connection);
            Thread.sleep(number % 3 * 10L);
            return ScriptedEngine.good(request, connection);
        };
        try (FaultServer first = new FaultServer(log, twice);
                FaultServer second = new FaultServer(log, twice);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            for (int request = 0; request < 20; request++) {
                assertEquals(
                        ScriptedEngine.unbrokenStream(),
                        withoutComments(gateway.post(PATH, STREAM).body()));
                assertEquals(ScriptedEngine.WHOLE, gateway.post(PATH, WHOLE).body());
            }
        }
    }

    @Test
    void aSilentShortRequestIsHedgedWithinTheBudget() throws Exception {
        try (FaultServer first = failingOnce(TargetFault.STALL_BEFORE_HEAD);
                FaultServer second = failingOnce(TargetFault.STALL_BEFORE_HEAD);
                GatewayFixture gateway = GatewayFixture.start(", hedgeMilliseconds: 50", first.port(), second.port())) {
            long start = System.nanoTime();
            String body = "{\"model\":\"draft\",\"messages\":[],\"max_tokens\":8}";
            assertEquals(ScriptedEngine.WHOLE, gateway.post(PATH, body).body());
            assertTrue((System.nanoTime() - start) / 1_000_000 < 350, "the hedge did not answer first");
            await(() -> log.cancellations.size() == 1);
            assertTrue(gateway.metrics().body().contains("fireflywalk_hedges_total 1"));
        }
    }

    private FaultServer failingOnce(TargetFault fault) throws IOException {
        return new FaultServer(
                log,
                (number, request, connection) ->
                        number == 1 ? fault.serve(request, connection) : ScriptedEngine.good(request, connection));
    }

    private FaultServer breakingOnce(ScriptedEngine.StreamFault fault) throws IOException {
        return new FaultServer(
                log,
                (number, request, connection) -> number == 1
                        ? ScriptedEngine.faulty(fault, request, connection)
                        : ScriptedEngine.good(request, connection));
    }

    private static String withoutComments(String body) {
        return body.replace(": waiting\n\n", "");
    }

    private static int inFlight(GatewayFixture gateway) {
        try {
            String metrics = gateway.metrics().body();
            String marker = "fireflywalk_requests_in_flight ";
            return Integer.parseInt(metrics.substring(metrics.indexOf(marker) + marker.length())
                    .lines()
                    .findFirst()
                    .orElse("-1"));
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static void await(java.util.function.BooleanSupplier condition) throws InterruptedException {
        for (int check = 0; check < 300 && !condition.getAsBoolean(); check++) {
            Thread.sleep(10);
        }
        assertTrue(condition.getAsBoolean());
    }
}
