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
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against truncated streams, repeated tokens, responses delivered to the wrong caller and requests without end
 * when engines fail.
 */
class ModelFaultContractTest {
    private static final String STREAM_REQUEST = "{\"model\":\"draft\",\"stream\":true,\"messages\":[]}";
    private static final String REQUEST = "{\"model\":\"draft\",\"messages\":[]}";
    private static final String COMPLETIONS_PATH = "/v1/chat/completions";

    private final FaultServer.Log log = new FaultServer.Log();

    @ParameterizedTest
    @EnumSource
    void retriesStreamThatFailsBeforeFirstToken(TargetFault fault) throws Exception {
        try (FaultServer first = failingOnce(fault);
                FaultServer second = failingOnce(fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> response = gateway.post(COMPLETIONS_PATH, STREAM_REQUEST);
            assertEquals(200, response.statusCode(), response.body());
            assertEquals(ScriptedEngine.expectedStream(), withoutComments(response.body()));
            assertEquals(2, log.requests.size());
            assertTrue(log.requests.get(1).header("last-event-id").isEmpty());
        }
    }

    @ParameterizedTest
    @EnumSource
    void retriesNonStreamedResponseFromStart(TargetFault fault) throws Exception {
        try (FaultServer first = failingOnce(fault);
                FaultServer second = failingOnce(fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> response = gateway.post(COMPLETIONS_PATH, REQUEST);
            assertEquals(200, response.statusCode(), response.body());
            assertEquals(ScriptedEngine.COMPLETION_BODY, response.body());
            assertEquals(
                    "RUN",
                    response.headers().firstValue("x-fireflywalk-run-state").orElse("none"));
            assertEquals(2, log.requests.size());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {429, 503})
    void rejectionThatNamesNoAttemptIsNotReportedAsNotRun(int status) throws Exception {
        try (FaultServer engine = new FaultServer(log, (number, request, connection) -> {
                    connection.write("HTTP/1.1 " + status + " Status\r\nx-engine-admitted: false\r\n"
                            + "content-length: 2\r\n\r\n{}");
                    return true;
                });
                GatewayFixture gateway = GatewayFixture.start("", engine.port())) {
            HttpResponse<String> response = gateway.post(COMPLETIONS_PATH, REQUEST);
            assertFalse(response.body().contains("NOT_RUN"), response.body());
        }
    }

    @ParameterizedTest
    @EnumSource
    void resumesBrokenStreamWithoutMissingOrRepeatedToken(ScriptedEngine.StreamFault fault) throws Exception {
        try (FaultServer first = breakingStreamOnce(fault);
                FaultServer second = breakingStreamOnce(fault);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> response = gateway.post(COMPLETIONS_PATH, STREAM_REQUEST);
            String expected = ScriptedEngine.expectedStream();
            String received = withoutComments(response.body());
            if (fault == ScriptedEngine.StreamFault.BREAK_AFTER_FINISH) {
                // The resumed stream may repeat the role event before the end, but no token.
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
    void endsUnresumableStreamWithErrorEventAndClosedConnection(ScriptedEngine.StreamFault fault) throws Exception {
        FaultServer.Behaviour failAlways = (number, request, connection) -> number == 1
                ? ScriptedEngine.serveWithFault(fault, request, connection)
                : TargetFault.STATUS_500.serve(request, connection);
        try (FaultServer target = new FaultServer(log, failAlways);
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            String response = gateway.raw(GatewayFixture.completion(STREAM_REQUEST), 5000);
            assertTrue(response.contains("event: error\ndata: {\"error\""), response);
            assertTrue(response.contains("\"run_state\":\"RUN\""), response);
            assertFalse(response.contains("[DONE]"), response);
            assertFalse(response.endsWith("0\r\n\r\n"), "the chunked body looks complete");
        }
    }

    @Test
    void limitsAttemptsPerRequest() throws Exception {
        FaultServer.Behaviour alwaysReset =
                (number, request, connection) -> TargetFault.RESET_AFTER_REQUEST.serve(request, connection);
        try (FaultServer first = new FaultServer(log, alwaysReset);
                FaultServer second = new FaultServer(log, alwaysReset);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            HttpResponse<String> response = gateway.post(COMPLETIONS_PATH, REQUEST);
            assertEquals(502, response.statusCode());
            assertTrue(response.body().contains("\"run_state\":\"UNKNOWN\""), response.body());
            assertEquals(4, log.requests.size());
        }
    }

    @Test
    void forwardsDeadlineAndAppliesItToAllAttempts() throws Exception {
        FaultServer.Behaviour stall = (number, request, connection) -> connection.stall();
        try (FaultServer target = new FaultServer(log, stall);
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            long start = System.nanoTime();
            HttpResponse<String> response = gateway.post(COMPLETIONS_PATH, REQUEST, "x-fireflywalk-deadline-ms", "600");
            long milliseconds = (System.nanoTime() - start) / 1_000_000;
            assertEquals(504, response.statusCode());
            assertTrue(milliseconds < 1500, "took " + milliseconds + " ms");
            long forwarded =
                    Long.parseLong(log.requests.get(0).header("x-deadline-ms").orElseThrow());
            assertTrue(forwarded > 0 && forwarded <= 600, "forwarded " + forwarded);
        }
    }

    @Test
    void sendsKeepAliveCommentsAndCancelsAttemptWhenCallerDisconnects() throws Exception {
        AtomicInteger closedConnections = new AtomicInteger();
        FaultServer.Behaviour streamSlowly = (number, request, connection) -> {
            ScriptedEngine.writeStreamHead(request, connection);
            connection.chunk(ScriptedEngine.tokenEvent(0));
            Thread.sleep(300);
            connection.chunk(ScriptedEngine.tokenEvent(1));
            connection.stall();
            closedConnections.incrementAndGet();
            return false;
        };
        try (FaultServer target = new FaultServer(log, streamSlowly);
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), gateway.callerPort())) {
                caller.getOutputStream()
                        .write(GatewayFixture.completion(STREAM_REQUEST).getBytes(StandardCharsets.UTF_8));
                caller.setSoTimeout(1000);
                StringBuilder received = new StringBuilder();
                while (received.indexOf(": waiting\n\n") < 0) {
                    received.append((char) caller.getInputStream().read());
                }
            }
            await(() -> log.cancellations.size() == 1 && closedConnections.get() == 1);
            String attemptId = log.requests.get(0).attemptId();
            assertEquals(
                    "DELETE /engine/v1/requests/" + attemptId + " HTTP/1.1",
                    log.cancellations.get(0).line());
        }
    }

    @Test
    void slowReaderGetsWholeStreamWithoutEngineTimeout() throws Exception {
        // More than the socket buffers hold.
        int tokens = 300_000;
        AtomicInteger sent = new AtomicInteger();
        FaultServer.Behaviour streamFast = (number, request, connection) -> {
            ScriptedEngine.writeStreamHead(request, connection);
            for (int index = 0; index < tokens; index++) {
                connection.chunk(ScriptedEngine.tokenEvent(index));
                sent.incrementAndGet();
            }
            connection.chunk("data: [DONE]\n\n");
            connection.write("0\r\n\r\n");
            return true;
        };
        try (FaultServer target = new FaultServer(log, streamFast);
                GatewayFixture gateway = GatewayFixture.start("", target.port());
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), gateway.callerPort())) {
            String request = GatewayFixture.completion(STREAM_REQUEST)
                    .replace("host: ", "x-fireflywalk-deadline-ms: 60000\r\nhost: ");
            caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            int previouslySent = -1;
            while (sent.get() != previouslySent) {
                previouslySent = sent.get();
                // Longer than gapMilliseconds, the limit between two chunks.
                Thread.sleep(600);
            }
            assertTrue(previouslySent > 0 && previouslySent < tokens, "backpressure did not reach the engine");
            caller.setSoTimeout(1000);
            String response = GatewayFixture.readAll(caller);
            String tail = response.substring(Math.max(0, response.length() - 500));
            assertTrue(tail.contains("id: " + (tokens - 1) + "\n") && tail.contains("data: [DONE]"), tail);
            assertEquals(1, log.requests.size());
        }
    }

    @Test
    void endsRequestOfNonReadingCallerAtDeadline() throws Exception {
        FaultServer.Behaviour streamEndlessly = (number, request, connection) -> {
            ScriptedEngine.writeStreamHead(request, connection);
            for (int index = 0; index < 1_000_000; index++) {
                connection.chunk(ScriptedEngine.tokenEvent(index));
            }
            return false;
        };
        try (FaultServer target = new FaultServer(log, streamEndlessly);
                GatewayFixture gateway = GatewayFixture.start("", target.port());
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), gateway.callerPort())) {
            caller.getOutputStream()
                    .write(GatewayFixture.completion(STREAM_REQUEST).getBytes(StandardCharsets.UTF_8));
            await(() -> inFlight(gateway) == 1);
            // The default deadline of the service is 5 s.
            for (int check = 0; check < 800 && inFlight(gateway) > 0; check++) {
                Thread.sleep(10);
            }
            assertEquals(0, inFlight(gateway));
        }
    }

    @Test
    void duplicateResponsesReachNoOtherCaller() throws Exception {
        FaultServer.Behaviour respondTwice = (number, request, connection) -> {
            ScriptedEngine.serve(request, connection);
            Thread.sleep(number % 3 * 10L);
            return ScriptedEngine.serve(request, connection);
        };
        try (FaultServer first = new FaultServer(log, respondTwice);
                FaultServer second = new FaultServer(log, respondTwice);
                GatewayFixture gateway = GatewayFixture.start("", first.port(), second.port())) {
            for (int request = 0; request < 20; request++) {
                assertEquals(
                        ScriptedEngine.expectedStream(),
                        withoutComments(
                                gateway.post(COMPLETIONS_PATH, STREAM_REQUEST).body()));
                assertEquals(
                        ScriptedEngine.COMPLETION_BODY,
                        gateway.post(COMPLETIONS_PATH, REQUEST).body());
            }
        }
    }

    @Test
    void hedgesUnansweredShortRequestWithinBudget() throws Exception {
        try (FaultServer first = failingOnce(TargetFault.STALL_BEFORE_HEAD);
                FaultServer second = failingOnce(TargetFault.STALL_BEFORE_HEAD);
                GatewayFixture gateway = GatewayFixture.start(", hedgeMilliseconds: 50", first.port(), second.port())) {
            long start = System.nanoTime();
            String body = "{\"model\":\"draft\",\"messages\":[],\"max_tokens\":8}";
            assertEquals(
                    ScriptedEngine.COMPLETION_BODY,
                    gateway.post(COMPLETIONS_PATH, body).body());
            assertTrue((System.nanoTime() - start) / 1_000_000 < 350, "the hedged attempt did not respond first");
            await(() -> log.cancellations.size() == 1);
            assertTrue(gateway.metrics().body().contains("fireflywalk_hedges_total 1"));
        }
    }

    private FaultServer failingOnce(TargetFault fault) throws IOException {
        return new FaultServer(
                log,
                (number, request, connection) ->
                        number == 1 ? fault.serve(request, connection) : ScriptedEngine.serve(request, connection));
    }

    private FaultServer breakingStreamOnce(ScriptedEngine.StreamFault fault) throws IOException {
        return new FaultServer(
                log,
                (number, request, connection) -> number == 1
                        ? ScriptedEngine.serveWithFault(fault, request, connection)
                        : ScriptedEngine.serve(request, connection));
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
