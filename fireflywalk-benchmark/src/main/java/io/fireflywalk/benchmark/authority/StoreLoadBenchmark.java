package io.fireflywalk.benchmark.authority;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.benchmark.authority.CountingTableService.Counts;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.daemon.authority.AuthoritySettings;
import io.fireflywalk.daemon.authority.LeaseManager;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Counts the table service calls that lease handling causes per fleet size, with default settings and in virtual time.
 * Prints one YAML record per fleet size.
 */
public final class StoreLoadBenchmark {
    private static final long SEED = 20261204;
    private static final long WARM_UP_SECONDS = 60;
    private static final long MEASURED_SECONDS = 300;
    private static final List<FleetSize> FLEET_SIZES = List.of(
            new FleetSize(9, 4, 4, 4),
            new FleetSize(45, 10, 8, 8),
            new FleetSize(150, 20, 15, 15),
            new FleetSize(410, 38, 26, 26));

    private StoreLoadBenchmark() {}

    /** Measures all fleet sizes. */
    public static void main(String[] arguments) {
        FLEET_SIZES.forEach(StoreLoadBenchmark::measure);
    }

    private static void measure(FleetSize size) {
        TestScheduler scheduler = new TestScheduler();
        CountingTableService tables = new CountingTableService(new InMemoryTableService());
        List<LeaseUnit> units = size.units();
        List<String> members = new ArrayList<>();
        for (int index = 0; index < size.instances(); index++) {
            members.add("instance-" + index);
        }
        List<LeaseManager> leaseManagers = new ArrayList<>();
        for (String member : members) {
            LeaseManager leaseManager = new LeaseManager(
                    member,
                    AuthoritySettings.defaults(),
                    tables,
                    new SchedulerTimerService(scheduler),
                    new Random(SEED + leaseManagers.size()),
                    new MetricRegistry(),
                    () -> units,
                    () -> members);
            leaseManager.start();
            leaseManagers.add(leaseManager);
        }
        scheduler.advanceTimeBy(WARM_UP_SECONDS, TimeUnit.SECONDS);
        Counts before = tables.counts();
        scheduler.advanceTimeBy(MEASURED_SECONDS, TimeUnit.SECONDS);
        Counts counts = tables.counts().minus(before);
        long held = units.stream()
                .filter(unit -> leaseManagers.stream()
                        .anyMatch(
                                leaseManager -> leaseManager.findAuthority(unit).isPresent()))
                .count();
        int maximumHeld = leaseManagers.stream()
                .mapToInt(leaseManager -> (int) units.stream()
                        .filter(unit -> leaseManager.findAuthority(unit).isPresent())
                        .count())
                .max()
                .orElse(0);
        System.out.printf(
                "- {instances: %d, units: %d, held: %d, mostHeldByOne: %d, transactionsPerSecond: %.1f,"
                        + " writtenRowsPerSecond: %.1f, readsPerSecond: %.1f, readRowsPerSecond: %.1f}%n",
                size.instances(),
                units.size(),
                held,
                maximumHeld,
                perSecond(counts.transactions()),
                perSecond(counts.writtenRows()),
                perSecond(counts.reads()),
                perSecond(counts.readRows()));
    }

    private static double perSecond(long count) {
        return (double) count / MEASURED_SECONDS;
    }

    /** Numbers of instances and of leased units in a fleet. */
    private record FleetSize(int instances, int models, int zones, int windowRanges) {

        List<LeaseUnit> units() {
            List<LeaseUnit> units = new ArrayList<>();
            for (int index = 0; index < models; index++) {
                units.add(LeaseUnit.pool("model-" + index));
            }
            for (int index = 0; index < zones; index++) {
                units.add(LeaseUnit.zone("zone-" + index));
            }
            for (int index = 0; index < windowRanges; index++) {
                units.add(LeaseUnit.report("range-" + index));
            }
            return units;
        }
    }
}
