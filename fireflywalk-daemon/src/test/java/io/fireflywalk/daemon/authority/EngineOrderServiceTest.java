package io.fireflywalk.daemon.authority;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.order.EngineAssignment;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderIntent;
import io.fireflywalk.core.order.EngineOrderIntent.Status;
import io.fireflywalk.core.order.EngineOrderResponse;
import io.fireflywalk.core.order.EngineRole;
import io.fireflywalk.core.order.EngineState;
import io.fireflywalk.core.order.OrderSender;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.order.EngineOrderClient;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against an order that is stored while its lease is lost and that no process ever closes or settles. */
class EngineOrderServiceTest {
    private static final String INCARNATION = "instance-1-1";
    private static final LeaseUnit POOL = LeaseUnit.pool("draft");
    private static final Target ENGINE = new Target(
            "draft-0",
            "draft",
            "127.0.0.1",
            1,
            "zone-a",
            "1",
            TargetCharge.REGULAR,
            OrderChecking.IGNORES_FENCING_TOKEN,
            false);
    private static final EngineAssignment ASSIGNMENT = new EngineAssignment(EngineRole.MIXED, "draft", "1", List.of());

    private final TestScheduler scheduler = new TestScheduler();
    private final DelayedTableService table = new DelayedTableService(scheduler);
    private final Authority authority = new Authority(POOL, 2, INCARNATION);
    private final FixedAuthorityService authorities = new FixedAuthorityService(authority);

    private static final class SilentEngine implements EngineOrderClient {
        @Override
        public Single<EngineOrderResponse> send(Target engine, EngineOrder order) {
            return Single.error(new FireflywalkException(ErrorKind.TARGET_FAILED, "silent", engine.name()));
        }

        @Override
        public Single<EngineState> state(Target engine) {
            return Single.error(new FireflywalkException(ErrorKind.TARGET_FAILED, "silent", engine.name()));
        }
    }

    static IntStream submissionTimes() {
        return IntStream.range(0, 100).map(step -> step * 10);
    }

    @ParameterizedTest
    @MethodSource("submissionTimes")
    void orderThatIsStoredAfterItsLeaseWasLostIsClosed(int milliseconds) {
        EngineOrderService service = new EngineOrderService(
                INCARNATION,
                authorities,
                table,
                new SilentEngine(),
                new DelayedProvisioner(table),
                new SchedulerTimerService(scheduler),
                OrderSettings.defaults(),
                new Random(1),
                new MetricRegistry());
        service.start();
        // An order that is not stored leaves the engine among those that the rounds look at.
        table.unavailable = true;
        var unused = service.submit(authority, ENGINE, ASSIGNMENT).subscribe(intent -> {}, cause -> {});
        advance(3 * DelayedTableService.MESSAGE_MILLISECONDS);
        table.unavailable = false;
        advance(milliseconds);
        Disposable submission = service.submit(authority, ENGINE, ASSIGNMENT).subscribe(intent -> {}, cause -> {});
        Optional<Row> stored = Optional.empty();
        for (int step = 0; step < 100 && stored.isEmpty(); step++) {
            advance(10);
            stored = table.row("draft/draft-0");
        }
        authorities.lose();
        submission.dispose();
        advance(Duration.ofMinutes(1).toMillis());
        EngineOrderIntent intent = intent();
        assertEquals(Status.PENDING, intent.status());
        assertTrue(intent.senders().stream().allMatch(OrderSender::closed), intent.toString());
    }

    private EngineOrderIntent intent() {
        try {
            return Codec.json().read(table.row("draft/draft-0").get().value(), EngineOrderIntent.class, "row");
        } catch (FireflywalkException exception) {
            throw new AssertionError(exception);
        }
    }

    private void advance(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }
}
