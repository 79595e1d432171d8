package io.fireflywalk.daemon.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.usage.UsageReport;
import io.fireflywalk.daemon.usage.UsageFleet.Node;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * Checks the sum of all reports under instance kills, instances isolated from their peers, lost and late store calls,
 * late and duplicated peer messages, outages of the store and of the report service, and several concurrent reporters.
 */
class UsageProperties {
    private static final List<String> ACCOUNTS = List.of("county", "parish", "harbour");
    private static final int INSTANCES = 6;
    private static final int MAXIMUM_ROWS = 12;
    /**
     * A row has three holders, one of which must survive until it has flushed the row, so at most two may be killed.
     */
    private static final int MAXIMUM_KILLS_BETWEEN_RECOVERIES = 2;

    private static final long RECOVERY_MILLISECONDS = 100_000;
    private static final long SETTLE_MILLISECONDS = 250_000;

    @Property(tries = 80)
    void responsesAreReportedOnceDespiteInstanceKills(@ForAll("runs") List<Step> steps, @ForAll long seed) {
        UsageFleet fleet = run(steps, seed, true);
        assertRepeatedReportsAreEqual(fleet);
        for (String account : ACCOUNTS) {
            long confirmed = fleet.completed.getOrDefault(account, 0L) - fleet.unconfirmed.getOrDefault(account, 0L);
            long recorded = fleet.recorded.getOrDefault(account, 0L);
            long reported = fleet.reported(account);
            assertTrue(reported >= confirmed, account + " lost: confirmed " + confirmed + ", reported " + reported);
            assertTrue(
                    reported <= recorded, account + " counted twice: recorded " + recorded + ", reported " + reported);
        }
    }

    @Property(tries = 80)
    void reportsAreExactWithoutInstanceKills(@ForAll("runs") List<Step> steps, @ForAll long seed) {
        UsageFleet fleet = run(steps, seed, false);
        assertRepeatedReportsAreEqual(fleet);
        for (String account : ACCOUNTS) {
            assertEquals(fleet.recorded.getOrDefault(account, 0L), fleet.reported(account), account);
        }
    }

    @Provide
    Arbitrary<List<Step>> runs() {
        Arbitrary<Kind> kinds = Arbitraries.frequency(
                Tuple.of(30, Kind.SERVE),
                Tuple.of(15, Kind.ADVANCE),
                Tuple.of(3, Kind.LOSE_STORE_ANSWERS),
                Tuple.of(2, Kind.STORE_OUTAGE),
                Tuple.of(3, Kind.LOSE_PEER_MESSAGES),
                Tuple.of(2, Kind.LOSE_REPORT_ANSWERS),
                Tuple.of(2, Kind.REPORT_OUTAGE),
                Tuple.of(3, Kind.TOGGLE_ISOLATION),
                Tuple.of(4, Kind.TOGGLE_REPORTER),
                Tuple.of(5, Kind.KILL),
                Tuple.of(1, Kind.RECOVER));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 9999))
                .as(Step::new)
                .list()
                .ofMaxSize(80);
    }

    private static UsageFleet run(List<Step> steps, long seed, boolean allowKills) {
        UsageFleet fleet = new UsageFleet(seed, INSTANCES, MAXIMUM_ROWS);
        fleet.nodes.get(0).holdsReportLease = true;
        int[] killCount = {0};
        for (Step step : steps) {
            apply(fleet, step, allowKills, killCount);
        }
        recover(fleet, SETTLE_MILLISECONDS);
        return fleet;
    }

    private static void apply(UsageFleet fleet, Step step, boolean allowKills, int[] killCount) {
        int value = step.value();
        List<Node> alive = fleet.alive();
        Node node = alive.get(value % alive.size());
        switch (step.kind()) {
            case SERVE -> {
                for (int i = 0; i <= value % 7; i++) {
                    fleet.serve(node, ACCOUNTS.get((value + i) % ACCOUNTS.size()));
                }
                fleet.advance(value % 10);
            }
            case ADVANCE -> fleet.advance(value < 7000 ? value / 10 : 2L * value);
            case LOSE_STORE_ANSWERS -> fleet.tables.setLostResponsePercent(value % 50);
            case STORE_OUTAGE -> fleet.tables.setUnavailable(value % 3 != 0);
            case LOSE_PEER_MESSAGES -> fleet.lostMessagePercent = value % 80;
            case LOSE_REPORT_ANSWERS -> fleet.lostReportResponsePercent = value % 80;
            case REPORT_OUTAGE -> fleet.reportServiceDown = value % 3 != 0;
            case TOGGLE_ISOLATION -> node.isolated = !node.isolated;
            case TOGGLE_REPORTER -> node.holdsReportLease = !node.holdsReportLease;
            case KILL -> {
                if (allowKills && killCount[0] < MAXIMUM_KILLS_BETWEEN_RECOVERIES) {
                    killCount[0]++;
                    node.kill();
                    fleet.startNode();
                }
            }
            case RECOVER -> {
                recover(fleet, RECOVERY_MILLISECONDS);
                killCount[0] = 0;
            }
            default -> throw new IllegalStateException(step.toString());
        }
    }

    private static void recover(UsageFleet fleet, long milliseconds) {
        fleet.tables.setLostResponsePercent(0);
        fleet.tables.setUnavailable(false);
        fleet.lostMessagePercent = 0;
        fleet.lostReportResponsePercent = 0;
        fleet.reportServiceDown = false;
        fleet.nodes.forEach(node -> node.isolated = false);
        fleet.alive().get(0).holdsReportLease = true;
        fleet.advance(milliseconds);
    }

    private static void assertRepeatedReportsAreEqual(UsageFleet fleet) {
        Map<Long, UsageReport> firstByWindow = new HashMap<>();
        for (UsageReport report : fleet.received) {
            UsageReport previous = firstByWindow.putIfAbsent(report.window(), report);
            assertTrue(
                    previous == null || previous.equals(report),
                    "window " + report.window() + " has two different reports");
        }
        assertTrue(firstByWindow.size() > 1, "no window was reported");
    }

    enum Kind {
        SERVE,
        ADVANCE,
        LOSE_STORE_ANSWERS,
        STORE_OUTAGE,
        LOSE_PEER_MESSAGES,
        LOSE_REPORT_ANSWERS,
        REPORT_OUTAGE,
        TOGGLE_ISOLATION,
        TOGGLE_REPORTER,
        KILL,
        RECOVER
    }

    /** One step of a run; the value selects its instance and magnitude. */
    record Step(Kind kind, int value) {}
}
