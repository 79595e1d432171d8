package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.ingress.TargetCrash;
import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClientOptions;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against connections that a live target resets being taken for its end, and against the loss of prompts. */
class TargetCrashDetectorTest {
    private static final TargetEntry TARGET = new FixedRowDecoder().target("target-1", Buffer.buffer());

    private final TestScheduler scheduler = new TestScheduler();
    private final List<TargetCrash> found = new ArrayList<>();
    private int checks;

    private TargetCrashDetector detector(Single<Boolean> refuses) {
        return new TargetCrashDetector(
                new SchedulerTimerService(scheduler),
                (host, port) -> {
                    checks++;
                    return refuses;
                },
                new IngressMetrics(new MetricRegistry()),
                found::add);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void onlyATargetThatRefusesConnectionsHasEnded(boolean refuses) {
        TargetCrashDetector detector = detector(Single.just(refuses));
        detector.onConnectionLost(TARGET, List.of("a"));
        detector.onConnectionLost(TARGET, List.of("b", "c"));
        scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        detector.onConnectionLost(TARGET, List.of("d"));
        scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        assertEquals(2, checks);
        assertEquals(
                refuses
                        ? List.of(
                                new TargetCrash("target-1", 0, List.of(List.of("a"), List.of("b", "c"))),
                                new TargetCrash("target-1", 0, List.of(List.of("d"))))
                        : List.of(),
                found);
    }

    @Test
    void connectorTellsARefusedConnectionFromAnAcceptedOne() throws Exception {
        Vertx vertx = Vertx.vertx();
        TargetCrashDetector.Connector connector =
                TargetCrashDetector.Connector.of(vertx.createNetClient(new NetClientOptions().setConnectTimeout(1000)));
        int port;
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = listener.getLocalPort();
            assertEquals(false, connector.refuses("127.0.0.1", port).blockingGet());
        }
        assertEquals(true, connector.refuses("127.0.0.1", port).blockingGet());
        var unused = vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
}
