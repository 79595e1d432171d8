package io.fireflywalk.daemon.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.routing.LoadView;
import io.fireflywalk.core.routing.PrefixCacheEstimate;
import io.fireflywalk.core.routing.RunnerProfile;
import io.fireflywalk.services.time.VertxTimerService;
import io.fireflywalk.standin.ModelEngineServer;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against load reports that do not reach the view and against routing to unreachable runners. */
class LoadPollerTest {
    private static final String HOST = "127.0.0.1";
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static Target target(String name, int port) {
        return new Target(
                name,
                "draft",
                HOST,
                port,
                "zone-a",
                "1",
                TargetCharge.REGULAR,
                OrderChecking.CHECKS_FENCING_TOKEN,
                false);
    }

    @Test
    void recordsReportsAndAvoidsUnreachableRunner() throws Exception {
        int port = new ModelEngineServer(vertx, "draft", "1", 5)
                .listen(HOST, 0)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty()
                .apply(
                        1,
                        List.of(
                                DocumentChange.put(new Service("draft", ServiceType.MODEL, List.of(), 60_000, 1)),
                                DocumentChange.put(target("reporting", port)),
                                DocumentChange.put(target("unreachable", 1))));
        LoadView view = new LoadView(RunnerProfile.defaults());
        VertxTimerService timers = new VertxTimerService(vertx, context);
        LoadPoller poller = new LoadPoller(
                vertx.createHttpClient(),
                timers,
                () -> snapshot,
                "instance-1",
                view,
                new PrefixCacheEstimate(),
                new MetricRegistry(),
                Duration.ofMillis(250));
        CompletableFuture<Void> bothObserved = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            poller.start();
            vertx.setPeriodic(20, timer -> {
                long now = timers.monotonicNanoseconds();
                // The staleness penalty starts three seconds after the last report, or at once without any report.
                boolean reported =
                        view.runner("reporting").stalenessPenaltySeconds(now + 2 * NANOSECONDS_PER_SECOND) == 0
                                && !view.runner("reporting").isEjected(now);
                if (reported && view.runner("unreachable").isEjected(now)) {
                    bothObserved.complete(null);
                }
            });
        });
        bothObserved.get(20, TimeUnit.SECONDS);
        assertTrue(bothObserved.isDone());
        assertFalse(bothObserved.isCompletedExceptionally());
    }
}
