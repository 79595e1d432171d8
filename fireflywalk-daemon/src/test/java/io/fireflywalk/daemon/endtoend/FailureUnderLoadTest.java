package io.fireflywalk.daemon.endtoend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

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

/** Tests under load that callers lose nothing when an engine process fails or is drained, or the daemon shuts down. */
class FailureUnderLoadTest {
    private static final int STREAM_COUNT = 12;
    private static final int TOKEN_COUNT = 100;
    private static final int MAXIMUM_STARTS = 10;

    @TempDir
    private Path directory;

    private final ExecutorService executor = Executors.newFixedThreadPool(STREAM_COUNT);
    private FleetProcesses fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new FleetProcesses(directory);
        fleet.start();
    }

    @AfterEach
    void stop() {
        executor.shutdownNow();
        fleet.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"KILL", "STOP"})
    void streamsOfFailedEngineAreResumedWithoutMissingOrRepeatedTokens(String signal) throws Exception {
        List<Future<HttpResponse<String>>> streams = startStreamsUsing(0);
        Thread.sleep(500);
        fleet.engine(0).signal(signal);
        for (Future<HttpResponse<String>> stream : streams) {
            assertComplete(stream.get().body());
        }
        assertTrue(fleet.metrics().matches("(?s).*fireflywalk_resumes_total [1-9].*"));
    }

    @Test
    void drainingEngineFinishesItsStreamsAndGetsNoNewRequests() throws Exception {
        List<Future<HttpResponse<String>>> streams = startStreamsUsing(0);
        fleet.applyConfiguration(true);
        // The objective for a draining target is two seconds; the process of the operator client takes additional time.
        Thread.sleep(2000);
        for (Future<HttpResponse<String>> stream : streams) {
            assertComplete(stream.get().body());
        }
        streams = startStreams();
        assertTrue(awaitRunningRequests(1, streams), "the other engine got no requests");
        Thread.sleep(500);
        assertEquals(0, fleet.runningRequests(0), "the draining engine got new requests");
        for (Future<HttpResponse<String>> stream : streams) {
            assertComplete(stream.get().body());
        }
        assertTrue(fleet.metrics().contains("fireflywalk_resumes_total 0"));
    }

    @Test
    void gracefulShutdownInterruptsNoRequest() throws Exception {
        AtomicBoolean terminated = new AtomicBoolean();
        AtomicInteger completed = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        List<Future<?>> tasks = new ArrayList<>();
        for (int caller = 0; caller < STREAM_COUNT; caller++) {
            boolean streaming = caller < STREAM_COUNT / 2;
            tasks.add(executor.submit(() -> {
                // Callers of streams stop by themselves; the others continue until they are refused.
                while (!streaming || !terminated.get()) {
                    HttpResponse<String> response = streaming
                            ? fleet.post("/v1/chat/completions", streamRequest())
                            : fleet.post("/billing/entries", "entry");
                    if (response.statusCode() == 503) {
                        assertTrue(response.body().contains("\"run_state\":\"NOT_RUN\""), response.body());
                        refused.incrementAndGet();
                        return null;
                    }
                    assertEquals(200, response.statusCode(), response.body());
                    if (streaming) {
                        assertComplete(response.body());
                    }
                    completed.incrementAndGet();
                }
                return null;
            }));
        }
        // Terminates the daemon only while requests are in progress, on a fast machine as well.
        while (completed.get() <= 2 * STREAM_COUNT && tasks.stream().noneMatch(Future::isDone)) {
            Thread.sleep(20);
        }
        fleet.daemon().terminate();
        terminated.set(true);
        for (Future<?> caller : tasks) {
            caller.get();
        }
        assertEquals(0, fleet.daemon().awaitExit());
        assertEquals(STREAM_COUNT / 2, refused.get());
        assertTrue(completed.get() > STREAM_COUNT, "only " + completed.get() + " requests were completed");
        String log = Files.readString(directory.resolve("daemon.log"));
        assertTrue(log.contains("event=stopped"), log);
        String secret = fleet.apiKey().substring(fleet.apiKey().indexOf('.') + 1);
        assertFalse(log.contains(secret), "the log contains an API key");
    }

    /** Waits until the engine runs requests; returns false if all streams end before. */
    private boolean awaitRunningRequests(int engine, List<Future<HttpResponse<String>>> streams) throws Exception {
        while (fleet.runningRequests(engine) == 0) {
            if (streams.stream().allMatch(Future::isDone)) {
                return false;
            }
            Thread.sleep(20);
        }
        return true;
    }

    /**
     * Starts streams of which at least one runs at the engine. All streams are started again if the engine gets none: the
     * daemon leaves an engine out for a second or more after a load report that came too late.
     */
    private List<Future<HttpResponse<String>>> startStreamsUsing(int engine) throws Exception {
        for (int attempt = 0; attempt < MAXIMUM_STARTS; attempt++) {
            List<Future<HttpResponse<String>>> streams = startStreams();
            if (awaitRunningRequests(engine, streams)) {
                return streams;
            }
            for (Future<HttpResponse<String>> stream : streams) {
                assertComplete(stream.get().body());
            }
        }
        return fail("engine " + engine + " got no request in " + MAXIMUM_STARTS + " starts; " + fleet.metrics());
    }

    private List<Future<HttpResponse<String>>> startStreams() {
        List<Future<HttpResponse<String>>> streams = new ArrayList<>();
        for (int stream = 0; stream < STREAM_COUNT; stream++) {
            streams.add(executor.submit(() -> fleet.post("/v1/chat/completions", streamRequest())));
        }
        return streams;
    }

    private static String streamRequest() {
        return "{\"model\":\"draft\",\"stream\":true,\"max_tokens\":" + TOKEN_COUNT + ",\"messages\":[]}";
    }

    private static void assertComplete(String body) {
        int position = 0;
        for (int index = 0; index < TOKEN_COUNT; index++) {
            int found = body.indexOf("id: " + index + "\n", position);
            assertTrue(found >= position, "token " + index + " is missing: " + body);
            assertTrue(body.startsWith("data: ", body.indexOf('\n', found) + 1));
            assertTrue(body.contains("\"" + ModelEngineServer.tokenText(index) + "\""));
            position = found + 1;
        }
        long tokens = body.lines().filter(line -> line.startsWith("id: ")).count();
        assertEquals(TOKEN_COUNT, tokens, "the stream repeats tokens");
        assertTrue(body.endsWith("data: [DONE]\n\n"), "the stream has no end marker");
    }
}
