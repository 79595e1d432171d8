package io.fireflywalk.core.placement;

import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.routing.RunnerRole;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.IntFunction;

/** Fleet that carries out decisions second by second, with faults drawn from a seed, and checks every decision. */
final class SimulatedFleet {
    static final List<String> ZONES = List.of("a", "b", "c", "d");
    private static final long SECOND = 1_000_000_000L;

    final List<String> violations = new ArrayList<>();
    final List<PlacementDecision> decisions = new ArrayList<>();
    final Map<String, SimulatedRunner> runners = new LinkedHashMap<>();
    final List<String> sentOrders = new ArrayList<>();
    PlacementState state;
    double failureRate;
    double staleRate;
    double crashRate;
    double lateRate;
    int second;
    private final PlacementSettings settings;
    private final PlacementPlanner planner;
    private final Random random;
    private final List<ModelDemand> demands;
    private final IntFunction<List<Work>> workAt;
    private final List<List<Work>> history = new ArrayList<>();
    private final Map<String, OrderReport.Outcome> outcomes = new HashMap<>();
    private final List<Delivery> deliveries = new ArrayList<>();
    private final double capacityGigabytes;
    private final double gigabytesPerSecond;
    private double readGigabytes;
    private int delivered;

    SimulatedFleet(
            PlacementSettings settings,
            List<ModelDemand> demands,
            IntFunction<List<Work>> workAt,
            double capacityGigabytes,
            double gigabytesPerSecond,
            long seed) {
        this.settings = settings;
        this.planner = new PlacementPlanner(settings);
        this.demands = demands;
        this.workAt = workAt;
        this.capacityGigabytes = capacityGigabytes;
        this.gigabytesPerSecond = gigabytesPerSecond;
        this.random = new Random(seed);
        this.state = PlacementState.initial(WeightStoreBudget.full(capacityGigabytes, gigabytesPerSecond, 0));
        demands.forEach(demand -> history.add(new ArrayList<>()));
    }

    SimulatedRunner add(String name, String zone, TargetCharge charge, Assignment assignment) {
        SimulatedRunner runner = new SimulatedRunner(name, zone, charge, assignment);
        runners.put(name, runner);
        return runner;
    }

    void run(int seconds) {
        for (int end = second + seconds; second < end; second++) {
            step();
        }
    }

    long count(Class<? extends PlacementDecision> type) {
        return decisions.stream().filter(type::isInstance).count();
    }

    private void step() {
        if (second % (int) settings.samplePeriodSeconds() == 0) {
            List<Work> now = workAt.apply(second);
            for (int index = 0; index < now.size(); index++) {
                history.get(index).add(now.get(index));
            }
        }
        deliver();
        runners.values().forEach(this::progress);
        FleetView view = view();
        long now = second * SECOND;
        Map<String, PendingChange> before = state.pending();
        PlacementOutcome outcome = planner.plan(view, state, new PlacementScope(true, Set.copyOf(ZONES)), now);
        state = outcome.state();
        outcome.decisions().forEach(decision -> carryOut(decision, before, view));
        double allowed = capacityGigabytes + gigabytesPerSecond * second;
        check(readGigabytes <= allowed + 1e-6, "read " + readGigabytes + " GB of " + allowed);
        check(state.budget().availableGigabytes() >= 0, "negative budget");
    }

    private FleetView view() {
        List<RunnerView> views = new ArrayList<>();
        for (SimulatedRunner runner : runners.values()) {
            runner.age = random.nextDouble() < staleRate || runner.silent ? runner.age + 1 : 0;
            views.add(new RunnerView(
                    runner.name,
                    runner.zone,
                    runner.charge,
                    runner.state,
                    runner.assignment,
                    runner.state == RunnerState.SERVING ? 3 : runner.drainSeconds,
                    runner.age));
        }
        List<ModelDemand> now = new ArrayList<>();
        for (int index = 0; index < demands.size(); index++) {
            ModelDemand demand = demands.get(index);
            now.add(new ModelDemand(
                    demand.served(),
                    history.get(index),
                    demand.minimumTargets(),
                    demand.zoneSpare(),
                    demand.movableFraction(),
                    demand.deferrableFraction(),
                    demand.weightGigabytes(),
                    demand.adapterGigabytes()));
        }
        List<OrderReport> reports = outcomes.entrySet().stream()
                .map(entry -> new OrderReport(entry.getKey(), entry.getValue()))
                .toList();
        List<PendingTargets> pending = deliveries.stream()
                .map(delivery -> new PendingTargets(
                        delivery.pool.served(),
                        delivery.pool.availabilityZone(),
                        delivery.pool.charge(),
                        delivery.count,
                        second - delivery.ordered))
                .toList();
        return new FleetView(ZONES, views, now, reports, pending);
    }

    private void deliver() {
        for (Delivery delivery : List.copyOf(deliveries)) {
            if (second >= delivery.due) {
                deliveries.remove(delivery);
                for (int index = 0; index < delivery.count; index++) {
                    add(
                            "new-" + delivered++,
                            delivery.pool.availabilityZone(),
                            delivery.pool.charge(),
                            new Assignment(delivery.pool.served(), RunnerRole.MIXED));
                }
            }
        }
    }

    private void progress(SimulatedRunner runner) {
        if (random.nextDouble() < crashRate) {
            runner.state = RunnerState.CRASHED;
            runner.order.ifPresent(id -> outcomes.put(id, OrderReport.Outcome.FAILED));
            runner.order = Optional.empty();
            runner.recovery = 30;
        } else if (runner.state == RunnerState.CRASHED && --runner.recovery <= 0) {
            runner.state = RunnerState.SERVING;
        } else if (runner.state == RunnerState.DRAINING) {
            runner.drainSeconds = Math.max(0, runner.drainSeconds - 1);
        } else if (runner.state == RunnerState.CHANGING && runner.order.isPresent() && second >= runner.orderDue) {
            String id = runner.order.get();
            runner.order = Optional.empty();
            if (random.nextDouble() < failureRate) {
                outcomes.put(id, OrderReport.Outcome.FAILED);
            } else {
                outcomes.put(id, OrderReport.Outcome.CONFIRMED);
                runner.assignment = runner.ordered;
                runner.state = RunnerState.SERVING;
            }
        }
    }

    private void carryOut(PlacementDecision decision, Map<String, PendingChange> before, FleetView view) {
        decisions.add(decision);
        if (decision instanceof PlacementDecision.StartDrain start) {
            SimulatedRunner runner = runners.get(start.change().runner());
            check(!before.containsKey(runner.name), "second change of " + runner.name);
            check(runner.state == RunnerState.SERVING, "drain of " + runner.state);
            runner.state = RunnerState.DRAINING;
            runner.drainSeconds = 4;
            checkMinimum(start.change().from().served(), view);
        } else if (decision instanceof PlacementDecision.CancelDrain cancel) {
            runners.get(cancel.change().runner()).state = RunnerState.SERVING;
        } else if (decision instanceof PlacementDecision.SendOrder send) {
            SimulatedRunner runner = runners.get(send.change().runner());
            check(runner.state == RunnerState.DRAINING && runner.drainSeconds == 0, "order before drained");
            send(runner, send.orderId(), send.assignment());
        } else if (decision instanceof PlacementDecision.RollBack back) {
            check(back.assignment().equals(back.change().from()), "return to another assignment");
            send(runners.get(back.change().runner()), back.orderId(), back.assignment());
        } else if (decision instanceof PlacementDecision.OrderTargets order) {
            int due = second + (random.nextDouble() < lateRate ? 600 : 60);
            deliveries.add(new Delivery(order.pool(), order.count(), second, due));
            readGigabytes += order.count()
                    * demand(order.pool().served()).loadGigabytes(new ServedModel("", "", Optional.empty()));
        } else if (decision instanceof PlacementDecision.ReleaseTarget release) {
            SimulatedRunner runner = runners.get(release.runner());
            check(!state.pending().containsKey(runner.name), "release of a changing runner");
            runners.remove(runner.name);
            checkMinimum(release.pool().served(), view);
        }
    }

    private void send(SimulatedRunner runner, String id, Assignment assignment) {
        check(runner.order.isEmpty(), "two pending orders at " + runner.name);
        readGigabytes += demand(assignment.served()).loadGigabytes(runner.assignment.served());
        sentOrders.add(id);
        runner.state = RunnerState.CHANGING;
        runner.order = Optional.of(id);
        runner.ordered = assignment;
        runner.orderDue = second + 6;
    }

    private void checkMinimum(ServedModel served, FleetView view) {
        long serving = runners.values().stream()
                .filter(runner -> runner.assignment.served().equals(served))
                .filter(runner -> runner.state == RunnerState.SERVING)
                .count();
        check(
                serving >= demand(served).minimumTargets(),
                served + " has " + serving + " of " + view.runners().size());
    }

    private ModelDemand demand(ServedModel served) {
        return demands.stream()
                .filter(demand -> demand.served().equals(served))
                .findFirst()
                .orElseThrow();
    }

    private void check(boolean condition, String message) {
        if (!condition) {
            violations.add("second " + second + ": " + message);
        }
    }

    private record Delivery(TargetPool pool, int count, int ordered, int due) {}

    static final class SimulatedRunner {
        final String name;
        final String zone;
        final TargetCharge charge;
        Assignment assignment;
        Assignment ordered;
        RunnerState state = RunnerState.SERVING;
        Optional<String> order = Optional.empty();
        boolean silent;
        double age;
        int drainSeconds;
        int orderDue;
        int recovery;

        SimulatedRunner(String name, String zone, TargetCharge charge, Assignment assignment) {
            this.name = name;
            this.zone = zone;
            this.charge = charge;
            this.assignment = assignment;
            this.ordered = assignment;
        }
    }
}
