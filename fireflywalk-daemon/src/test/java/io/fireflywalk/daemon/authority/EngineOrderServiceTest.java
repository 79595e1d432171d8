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
import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.order.EngineOrderClient;
import io.fireflywalk.services.order.PlatformInstance;
import io.fireflywalk.services.order.PlatformTarget;
import io.fireflywalk.services.order.TargetProvisioner;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.RowWrite;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
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
    /** Time of a message on its way to the platform or back. */
    private static final long MESSAGE_MILLISECONDS = 40;

    private final TestScheduler scheduler = new TestScheduler();
    private final Table table = new Table();
    private Optional<Authority> held = Optional.of(new Authority(POOL, 2, INCARNATION));

    /** Table service whose calls take effect after one message and respond after another one. */
    private final class Table implements TableService {
        private final Map<String, Row> rows = new HashMap<>();
        private final Set<String> executed = new HashSet<>();
        private boolean unavailable;

        @Override
        public Single<TransactionResult> execute(Transaction transaction) {
            return delayed(() -> apply(transaction));
        }

        private TransactionResult apply(Transaction transaction) throws FireflywalkException {
            if (unavailable) {
                throw new FireflywalkException(ErrorKind.STORE_UNAVAILABLE, "unavailable", "test");
            }
            boolean met = transaction.conditions().stream()
                    .allMatch(condition -> version(condition.key()) == condition.expectedVersion());
            if (!met || !executed.add(transaction.id())) {
                return TransactionResult.conflict(transaction.conditions());
            }
            for (RowWrite write : transaction.writes()) {
                long next = version(write.key()) + 1;
                rows.put(
                        write.key(),
                        new Row(write.table(), write.key(), next, write.value().get()));
            }
            return TransactionResult.success();
        }

        private long version(String key) {
            return Optional.ofNullable(rows.get(key)).map(Row::version).orElse(0L);
        }

        @Override
        public Single<Optional<Row>> read(String name, String key) {
            return delayed(() -> Optional.ofNullable(rows.get(key)));
        }

        @Override
        public Single<List<Row>> scan(String name, String prefix, String after, int limit) {
            return delayed(() -> List.copyOf(rows.values()));
        }
    }

    /** A call that has been sent takes effect although its caller is no longer interested. */
    private <T> Single<T> delayed(Callable<T> effect) {
        return Single.defer(() -> {
            Single<T> result = Single.timer(MESSAGE_MILLISECONDS, TimeUnit.MILLISECONDS, scheduler)
                    .map(tick -> effect.call())
                    .cache();
            var unused = result.subscribe(value -> {}, cause -> {});
            return result.delay(MESSAGE_MILLISECONDS, TimeUnit.MILLISECONDS, scheduler, true);
        });
    }

    private final class Leases implements AuthorityService {
        @Override
        public Optional<Authority> findAuthority(LeaseUnit unit) {
            return held;
        }

        @Override
        public <T> Single<T> send(Authority authority, Supplier<Single<T>> request) {
            return Single.defer(request::get);
        }

        @Override
        public Disposable whileHeld(LeaseUnit unit, Function<Authority, Completable> task) {
            throw new UnsupportedOperationException();
        }
    }

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

    private final class Platform implements TargetProvisioner {
        @Override
        public Single<TargetOrderOutcome> execute(TargetOrder order) {
            return Single.never();
        }

        @Override
        public Single<Optional<TargetOrderOutcome>> find(String orderId) {
            return Single.never();
        }

        @Override
        public Single<List<PlatformTarget>> targets(String availabilityZone) {
            return Single.never();
        }

        @Override
        public Single<List<PlatformInstance>> instances() {
            return delayed(List::of);
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
                new Leases(),
                table,
                new SilentEngine(),
                new Platform(),
                new SchedulerTimerService(scheduler),
                OrderSettings.defaults(),
                new Random(1),
                new MetricRegistry());
        service.start();
        // An order that is not stored leaves the engine among those that the rounds look at.
        table.unavailable = true;
        var unused = service.submit(held.get(), ENGINE, ASSIGNMENT).subscribe(intent -> {}, cause -> {});
        advance(3 * MESSAGE_MILLISECONDS);
        table.unavailable = false;
        advance(milliseconds);
        Disposable submission = service.submit(held.get(), ENGINE, ASSIGNMENT).subscribe(intent -> {}, cause -> {});
        Optional<Row> stored = Optional.empty();
        for (int step = 0; step < 100 && stored.isEmpty(); step++) {
            advance(10);
            stored = Optional.ofNullable(table.rows.get("draft/draft-0"));
        }
        held = Optional.empty();
        submission.dispose();
        advance(Duration.ofMinutes(1).toMillis());
        EngineOrderIntent intent = intent();
        assertEquals(Status.PENDING, intent.status());
        assertTrue(intent.senders().stream().allMatch(OrderSender::closed), intent.toString());
    }

    private EngineOrderIntent intent() {
        try {
            return Codec.json().read(table.rows.get("draft/draft-0").value(), EngineOrderIntent.class, "row");
        } catch (FireflywalkException exception) {
            throw new AssertionError(exception);
        }
    }

    private void advance(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }
}
