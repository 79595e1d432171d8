package io.fireflywalk.daemon.authority;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against an order that is stored while a round reads its row, and that is then never sent to the platform. */
class TargetOrderServiceTest {
    private static final Authority AUTHORITY = new Authority(LeaseUnit.zone("zone-a"), 2, "instance-1-1");

    private final TestScheduler scheduler = new TestScheduler();
    private final DelayedTableService table = new DelayedTableService(scheduler);

    static IntStream submissionTimes() {
        return IntStream.range(0, 100).map(step -> step * 10);
    }

    @ParameterizedTest
    @MethodSource("submissionTimes")
    void orderThatIsStoredIsExecutedAlthoughItsSubmissionWasCancelled(int milliseconds) {
        DelayedProvisioner platform = new DelayedProvisioner(table);
        TargetOrderService service = new TargetOrderService(
                AUTHORITY.incarnation(),
                new FixedAuthorityService(AUTHORITY),
                table,
                platform,
                new SchedulerTimerService(scheduler),
                OrderSettings.defaults(),
                new Random(1),
                new MetricRegistry());
        service.start();
        // The first round comes soon after the start, the next one half a second later.
        scheduler.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        // An order that is not stored leaves the zone among those that the rounds look at.
        table.unavailable = true;
        submit(service, "order-0");
        scheduler.advanceTimeBy(3 * DelayedTableService.MESSAGE_MILLISECONDS, TimeUnit.MILLISECONDS);
        table.unavailable = false;
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
        Disposable submission = submit(service, "order-1");
        while (table.row("zone-a").isEmpty()) {
            scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        }
        submission.dispose();
        scheduler.advanceTimeBy(1, TimeUnit.MINUTES);
        assertEquals(List.of("order-1"), platform.executed);
    }

    private static Disposable submit(TargetOrderService service, String orderId) {
        return service.submit(AUTHORITY, TargetOrder.order(orderId, "zone-a", "large", TargetCharge.REGULAR, 1))
                .subscribe(() -> {}, cause -> {});
    }
}
