package io.fireflywalk.daemon.endtoend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.standin.ModelEngineServer;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards callers against the loss of real engine processes in mid-stream and against planned changes under load. */
class FailureUnderLoadTest {
    private static final int STREAMS = 12;
    private static final int TOKENS = 100;

    @TempDir
    private Path directory;

    private final ExecutorService callers = Executors.newFixedThreadPool(STREAMS);
    private FleetProcesses fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new FleetProcesses(directory);
        fleet.start();
    }

    @AfterEach
    void stop() {
        callers.shutdownNow();
        fleet.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"KILL", "STOP"})
    void streamsOfLostEngineAreResumedWithoutGapOrRepeat(String signal) throws Exception {
        List<Future<HttpResponse<String>>> streams = startStreams();
        awaitRunning(0);
        Thread.sleep(500);
        fleet.engine(0).signal(signal);
        for (Future<HttpResponse<String>> stream : streams) {
            requireComplete(stream.get().body());
        }
        assertTrue(fleet.metrics().matches("(?s).*fireflywalk_resumes_total [1-9].*"));
    }

    @Test
    void aLeavingEngineFinishesItsStreamsAndGetsNoNewWork() throws Exception {
        List<Future<HttpResponse<String>>> streams = startStreams();
        awaitRunning(0);
        fleet.apply(true);
        // The goal for a leaving target is two seconds; the operators' client has started a process as well.
        Thread.sleep(2000);
        for (Future<HttpResponse<String>> stream : streams) {
            requireComplete(stream.get().body());
        }
        streams = startStreams();
        awaitRunning(1);
        Thread.sleep(500);
        assertEquals(0, fleet.running(0), "the leaving engine got new work");
        for (Future<HttpResponse<String>> stream : streams) {
            requireComplete(stream.get().body());
        }
        assertTrue(fleet.metrics().contains("fireflywalk_resumes_total 0"));
    }

    @Test
    void aGracefulShutdownInterruptsNoRequest() throws Exception {
        AtomicBoolean terminated = new AtomicBoolean();
        AtomicInteger completed = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        List<Future<?>> work = new ArrayList<>();
        for (int caller = 0; caller < STREAMS; caller++) {
            boolean streams = caller < STREAMS / 2;
            work.add(callers.submit(() -> {
                // Callers of streams stop by themselves; the others go on until they are refused.
                while (!streams || !terminated.get()) {
                    HttpResponse<String> answer = streams
                            ? fleet.post("/v1/chat/completions", stream())
                            : fleet.post("/billing/entries", "entry");
                    if (answer.statusCode() == 503) {
                        assertTrue(answer.body().contains("\"run_state\":\"NOT_RUN\""), answer.body());
                        refused.incrementAndGet();
                        return null;
                    }
                    assertEquals(200, answer.statusCode(), answer.body());
                    if (streams) {
                        requireComplete(answer.body());
                    }
                    completed.incrementAndGet();
                }
                return null;
            }));
        }
        // Terminates only in the middle of work, however fast the machine is.
        while (completed.get() <= 2 * STREAMS && work.stream().noneMatch(Future::isDone)) {
            Thread.sleep(20);
        }
        fleet.daemon().terminate();
        terminated.set(true);
        for (Future<?> caller : work) {
            caller.get();
        }
        assertEquals(0, fleet.daemon().awaitExit());
        assertEquals(STREAMS / 2, refused.get());
        assertTrue(completed.get() > STREAMS, "only " + completed.get() + " requests were completed");
        String log = Files.readString(directory.resolve("daemon.log"));
        assertTrue(log.contains("event=stopped"), log);
        String secret = fleet.key().substring(fleet.key().indexOf('.') + 1);
        assertFalse(log.contains(secret), "the log holds a key");
    }

    private void awaitRunning(int engine) throws Exception {
        while (fleet.running(engine) == 0) {
            Thread.sleep(20);
        }
    }

    private List<Future<HttpResponse<String>>> startStreams() {
        List<Future<HttpResponse<String>>> streams = new ArrayList<>();
        for (int stream = 0; stream < STREAMS; stream++) {
            streams.add(callers.submit(() -> fleet.post("/v1/chat/completions", stream())));
        }
        return streams;
    }

    private static String stream() {
        return "{\"model\":\"draft\",\"stream\":true,\"max_tokens\":" + TOKENS + ",\"messages\":[]}";
    }

    private static void requireComplete(String body) {
        int position = 0;
        for (int index = 0; index < TOKENS; index++) {
            int found = body.indexOf("id: " + index + "\n", position);
            assertTrue(found >= position, "token " + index + " is missing: " + body);
            assertTrue(body.startsWith("data: ", body.indexOf('\n', found) + 1));
            assertTrue(body.contains("\"" + ModelEngineServer.tokenText(index) + "\""));
            position = found + 1;
        }
        long tokens = body.lines().filter(line -> line.startsWith("id: ")).count();
        assertEquals(TOKENS, tokens, "tokens are repeated");
        assertTrue(body.endsWith("data: [DONE]\n\n"), "the stream has no end");
    }
}
