package io.fireflywalk.services.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.error.ErrorKind;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against a call that waits forever although its response has arrived, because the calling thread asked for the
 * body after the response had ended.
 */
class CallsFromOtherThreadsTest {
    /** More threads than processors, so that a thread is often suspended between the steps of a call. */
    private static final int THREADS = 32;

    private static final int CALLS_PER_THREAD = 400;
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    @Test
    void everyCallEndsWithItsResponse() throws Exception {
        Vertx vertx = Vertx.vertx();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            HttpServer server = vertx.createHttpServer()
                    .requestHandler(request -> request.response().end("body"))
                    .listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get();
            List<CompletableFuture<Integer>> results = new ArrayList<>();
            for (int thread = 0; thread < THREADS; thread++) {
                HttpServiceClient client = new HttpServiceClient(vertx, "127.0.0.1", server.actualPort(), DEADLINE);
                results.add(CompletableFuture.supplyAsync(() -> callRepeatedly(client), threads));
            }
            for (CompletableFuture<Integer> result : results) {
                assertEquals(CALLS_PER_THREAD, result.get());
            }
        } finally {
            threads.shutdownNow();
            vertx.close().toCompletionStage().toCompletableFuture().get();
        }
    }

    private static int callRepeatedly(HttpServiceClient client) {
        int answered = 0;
        for (int call = 0; call < CALLS_PER_THREAD; call++) {
            answered += client.call(HttpMethod.GET, "/", Buffer.buffer(), ErrorKind.STORE_UNAVAILABLE)
                            .timeout(2 * DEADLINE.toMillis(), TimeUnit.MILLISECONDS)
                            .map(response -> response.status() == 200)
                            .onErrorReturnItem(false)
                            .blockingGet()
                    ? 1
                    : 0;
            if (answered <= call) {
                return answered;
            }
        }
        return answered;
    }
}
