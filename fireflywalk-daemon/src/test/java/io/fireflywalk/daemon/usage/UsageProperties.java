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
 * Guards the sum of all reports against kills, instances cut off from peers, lost and late store calls, late and
 * repeated peer messages, outages of the store and of the report interface, and two reporters at a time.
 */
class UsageProperties {
    private static final List<String> ACCOUNTS = List.of("county", "parish", "harbour");
    private static final int INSTANCES = 6;
    private static final int MAXIMUM_ROWS = 12;
    /** Three holders of a row must not end before one of them has flushed it, so two may end between two recoveries. */
    private static final int KILLS_BETWEEN_RECOVERIES = 2;

    private static final long RECOVERY_MILLISECONDS = 100_000;
    private static final long SETTLE_MILLISECONDS = 250_000;

    @Property(tries = 80)
    void answersAreReportedOnceThoughInstancesDie(@ForAll("runs") List<Step> steps, @ForAll long seed) {
        UsageFleet fleet = run(steps, seed, true);
        requireOneSetOfFiguresPerWindow(fleet);
        for (String account : ACCOUNTS) {
            long held = fleet.answered.getOrDefault(account, 0L) - fleet.exposed.getOrDefault(account, 0L);
            long recorded = fleet.recorded.getOrDefault(account, 0L);
            long reported = fleet.reported(account);
            assertTrue(reported >= held, account + " lost: held " + held + ", reported " + reported);
            assertTrue(reported <= recorded, account + " doubled: recorded " + recorded + ", reported " + reported);
        }
    }

    @Property(tries = 80)
    void reportsAreExactWhenNoInstanceDies(@ForAll("runs") List<Step> steps, @ForAll long seed) {
        UsageFleet fleet = run(steps, seed, false);
        requireOneSetOfFiguresPerWindow(fleet);
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
                Tuple.of(3, Kind.CUT_OFF),
                Tuple.of(4, Kind.REPORTER),
                Tuple.of(5, Kind.KILL),
                Tuple.of(1, Kind.RECOVER));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 9999))
                .as(Step::new)
                .list()
                .ofMaxSize(80);
    }

    private static UsageFleet run(List<Step> steps, long seed, boolean kills) {
        UsageFleet fleet = new UsageFleet(seed, INSTANCES, MAXIMUM_ROWS);
        fleet.nodes.get(0).reports = true;
        int[] killed = {0};
        for (Step step : steps) {
            apply(fleet, step, kills, killed);
        }
        recover(fleet, SETTLE_MILLISECONDS);
        return fleet;
    }

    private static void apply(UsageFleet fleet, Step step, boolean kills, int[] killed) {
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
            case LOSE_STORE_ANSWERS -> fleet.tables.loseAnswers(value % 50);
            case STORE_OUTAGE -> fleet.tables.setOut(value % 3 != 0);
            case LOSE_PEER_MESSAGES -> fleet.lostMessages = value % 80;
            case LOSE_REPORT_ANSWERS -> fleet.lostReportAnswers = value % 80;
            case REPORT_OUTAGE -> fleet.reportsOut = value % 3 != 0;
            case CUT_OFF -> node.paused = !node.paused;
            case REPORTER -> node.reports = !node.reports;
            case KILL -> {
                if (kills && killed[0] < KILLS_BETWEEN_RECOVERIES) {
                    killed[0]++;
                    node.kill();
                    fleet.startNode();
                }
            }
            case RECOVER -> {
                recover(fleet, RECOVERY_MILLISECONDS);
                killed[0] = 0;
            }
            default -> throw new IllegalStateException(step.toString());
        }
    }

    private static void recover(UsageFleet fleet, long milliseconds) {
        fleet.tables.loseAnswers(0);
        fleet.tables.setOut(false);
        fleet.lostMessages = 0;
        fleet.lostReportAnswers = 0;
        fleet.reportsOut = false;
        fleet.nodes.forEach(node -> node.paused = false);
        fleet.alive().get(0).reports = true;
        fleet.advance(milliseconds);
    }

    private static void requireOneSetOfFiguresPerWindow(UsageFleet fleet) {
        Map<Long, UsageReport> first = new HashMap<>();
        for (UsageReport report : fleet.received) {
            UsageReport before = first.putIfAbsent(report.window(), report);
            assertTrue(before == null || before.equals(report), "window " + report.window() + " has two figures");
        }
        assertTrue(first.size() > 1, "no window was reported");
    }

    /** Kind of step. */
    enum Kind {
        SERVE,
        ADVANCE,
        LOSE_STORE_ANSWERS,
        STORE_OUTAGE,
        LOSE_PEER_MESSAGES,
        LOSE_REPORT_ANSWERS,
        REPORT_OUTAGE,
        CUT_OFF,
        REPORTER,
        KILL,
        RECOVER
    }

    /** One step of a run; the value chooses its instance and size. */
    record Step(Kind kind, int value) {}
}
