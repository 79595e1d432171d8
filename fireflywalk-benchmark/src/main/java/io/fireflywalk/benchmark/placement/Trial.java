package io.fireflywalk.benchmark.placement;

import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.placement.Assignment;
import io.fireflywalk.core.placement.FleetView;
import io.fireflywalk.core.placement.ModelDemand;
import io.fireflywalk.core.placement.OrderReport;
import io.fireflywalk.core.placement.PendingTargets;
import io.fireflywalk.core.placement.PlacementDecision;
import io.fireflywalk.core.placement.RunnerState;
import io.fireflywalk.core.placement.ServedModel;
import io.fireflywalk.core.placement.TargetPool;
import io.fireflywalk.core.placement.Work;
import io.fireflywalk.core.routing.RunnerRole;
import io.fireflywalk.standin.engine.EngineCosts;
import io.fireflywalk.standin.engine.VirtualEngine;
import io.fireflywalk.standin.engine.VirtualTime;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** One run of a policy in a scenario on virtual engines with open-loop arrivals. Confined to one thread. */
final class Trial {
    static final List<String> ZONES = List.of("zone-1", "zone-2", "zone-3", "zone-4");
    static final ServedModel MODEL = new ServedModel("draft", "1", Optional.empty());
    static final double MOVABLE_FRACTION = 0.7;
    static final long SECOND = 1_000_000_000L;
    private static final int SAMPLE_SECONDS = 5;
    /** Time in which queued prompts should be computed; they count as demand, or a queue would never draw a change. */
    private static final double QUEUE_CLEARING_SECONDS = 30;

    private static final int NOTICE_SECONDS = 5;
    private static final int DELIVERY_SECONDS = 60;
    private static final int DRAIN_TAIL_SECONDS = 120;
    private static final double PREEMPTIBLE_CHARGE = 0.35;

    private final Scenario scenario;
    private final PlacementPolicy policy;
    private final long seed;
    private final VirtualTime time = new VirtualTime();
    private final WorkMeter meter = new WorkMeter();
    private final Map<String, TrialRunner> runners = new LinkedHashMap<>();
    private final TrialRouter router = new TrialRouter(time, runners.values(), meter);
    private final Random arrivals;
    private final Random sizes;
    private final List<TrialRequest> requests = new ArrayList<>();
    private final List<Work> history = new ArrayList<>();
    private final List<OrderReport> reports = new ArrayList<>();
    private final List<Delivery> deliveries = new ArrayList<>();
    private final List<Integer> targets = new ArrayList<>();
    private double offeredPrefill;
    private double offeredDecode;
    private double spend;
    private int roleChanges;
    private int streamsMoved;
    private int created;

    Trial(Scenario scenario, PlacementPolicy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        this.seed = seed;
        this.arrivals = new Random(seed);
        this.sizes = new Random(seed + 1);
    }

    void add(String zone, TargetCharge charge, RunnerRole role) {
        String name = "runner-" + created++;
        VirtualEngine engine = new VirtualEngine(time, EngineCosts.defaults(), MODEL.model(), seed * 1_000 + created);
        runners.put(name, new TrialRunner(name, zone, charge, engine, new Assignment(MODEL, role)));
    }

    TrialResult run(String policyName) {
        time.schedule(0, this::arrive);
        for (int second = 0; second < scenario.seconds(); second++) {
            int now = second;
            time.schedule(second * SECOND, () -> tick(now));
        }
        time.runUntil((scenario.seconds() + DRAIN_TAIL_SECONDS) * SECOND);
        return new TrialSummary(scenario, requests)
                .result(policyName, seed, roleChanges, spend, meter.share(), streamsMoved, targets);
    }

    private void arrive() {
        double second = time.now() / (double) SECOND;
        if (second >= scenario.seconds()) {
            return;
        }
        double work = scenario.work().applyAsDouble(second);
        double share = scenario.prefillShare().applyAsDouble(second);
        // Long prompts take 0.276 s of prefill and 0.043 s of decode on average, long outputs 0.028 s and 0.172 s.
        double longPrompts = Math.max(0, (work * share * 0.172 - work * (1 - share) * 0.028) / 0.046_3);
        double longOutputs = Math.max(0, (work * (1 - share) - longPrompts * 0.043) / 0.172);
        boolean longPrompt = sizes.nextDouble() < longPrompts / (longPrompts + longOutputs);
        int prompt = size(longPrompt ? 4_000 : 400);
        int output = size(longPrompt ? 100 : 400);
        TrialRequest request = new TrialRequest(time.now(), prompt, output, sizes.nextDouble() < MOVABLE_FRACTION);
        offeredPrefill += prompt * WorkMeter.PROMPT_TOKEN_SECONDS;
        offeredDecode += output * WorkMeter.OUTPUT_TOKEN_SECONDS;
        requests.add(request);
        router.route(request);
        double gap = -Math.log(1 - arrivals.nextDouble()) / (longPrompts + longOutputs);
        time.schedule((long) (gap * SECOND), this::arrive);
    }

    private int size(int mean) {
        return (int) (mean * (0.5 + sizes.nextDouble()));
    }

    private void tick(int second) {
        if (second > 0 && second % SAMPLE_SECONDS == 0) {
            history.add(new Work(
                    offeredPrefill / SAMPLE_SECONDS + queuedPrefillSeconds() / QUEUE_CLEARING_SECONDS,
                    offeredDecode / SAMPLE_SECONDS));
            offeredPrefill = 0;
            offeredDecode = 0;
        }
        deliver(second);
        if (scenario.zoneLossSeconds() > 0) {
            reclaim(second);
        }
        for (PlacementDecision decision : policy.decide(view(second), time.now())) {
            carryOut(decision, second);
        }
        List<TrialRunner> leaving = runners.values().stream()
                .filter(runner -> runner.state == RunnerState.LEAVING && runner.requests.isEmpty())
                .toList();
        leaving.forEach(runner -> runners.remove(runner.name));
        if (second >= scenario.warmUpSeconds()) {
            runners.values().forEach(runner -> spend += charge(runner.charge));
        }
        if (second % 10 == 0) {
            targets.add(runners.size());
        }
    }

    private FleetView view(int second) {
        ModelDemand demand = new ModelDemand(MODEL, history, 2, false, MOVABLE_FRACTION, 0, 20, 0);
        List<PendingTargets> pending = deliveries.stream()
                .map(delivery -> new PendingTargets(
                        MODEL,
                        delivery.pool().availabilityZone(),
                        delivery.pool().charge(),
                        delivery.count(),
                        second - delivery.ordered()))
                .toList();
        return new FleetView(
                ZONES, runners.values().stream().map(TrialRunner::view).toList(), List.of(demand), reports, pending);
    }

    private double queuedPrefillSeconds() {
        long tokens = runners.values().stream()
                .mapToLong(runner -> runner.queuedPrefill)
                .sum();
        return tokens * WorkMeter.PROMPT_TOKEN_SECONDS;
    }

    private void deliver(int second) {
        for (Delivery delivery : List.copyOf(deliveries)) {
            if (second - delivery.ordered() >= DELIVERY_SECONDS) {
                deliveries.remove(delivery);
                for (int index = 0; index < delivery.count(); index++) {
                    add(delivery.pool().availabilityZone(), delivery.pool().charge(), RunnerRole.MIXED);
                }
            }
        }
    }

    /** Announces and carries out the reclaim of every preemptible target of the zone that has most of them. */
    private void reclaim(int second) {
        if (second == scenario.zoneLossSeconds() - NOTICE_SECONDS) {
            String zone = ZONES.stream()
                    .max((left, right) -> Long.compare(preemptible(left), preemptible(right)))
                    .orElseThrow();
            runners.values().stream()
                    .filter(runner -> runner.charge == TargetCharge.PREEMPTIBLE && runner.zone.equals(zone))
                    .forEach(runner -> runner.state = RunnerState.RECLAIM_NOTICE);
        } else if (second == scenario.zoneLossSeconds()) {
            List<TrialRunner> lost = runners.values().stream()
                    .filter(runner -> runner.state == RunnerState.RECLAIM_NOTICE)
                    .toList();
            lost.forEach(runner -> runners.remove(runner.name));
            lost.forEach(runner -> runner.engine.crash());
        }
    }

    private long preemptible(String zone) {
        return runners.values().stream()
                .filter(runner -> runner.charge == TargetCharge.PREEMPTIBLE && runner.zone.equals(zone))
                .count();
    }

    private void carryOut(PlacementDecision decision, int second) {
        if (decision instanceof PlacementDecision.StartDrain start) {
            runners.get(start.change().runner()).state = RunnerState.DRAINING;
        } else if (decision instanceof PlacementDecision.CancelDrain cancel) {
            runners.get(cancel.change().runner()).state = RunnerState.SERVING;
        } else if (decision instanceof PlacementDecision.SendOrder send) {
            change(send, second);
        } else if (decision instanceof PlacementDecision.MoveStreams move) {
            TrialRunner runner = runners.get(move.runner());
            streamsMoved += runner.requests.size();
            router.move(runner);
        } else if (decision instanceof PlacementDecision.OrderTargets order) {
            deliveries.add(new Delivery(order.pool(), order.count(), second));
        } else if (decision instanceof PlacementDecision.ReleaseTarget release) {
            runners.get(release.runner()).state = RunnerState.LEAVING;
        }
    }

    private void change(PlacementDecision.SendOrder send, int second) {
        TrialRunner runner = runners.get(send.change().runner());
        roleChanges += second >= scenario.warmUpSeconds() ? 1 : 0;
        runner.state = RunnerState.CHANGING;
        runner.engine.changeRole(send.assignment().role());
        time.schedule((long) (EngineCosts.defaults().roleChangeSeconds() * SECOND), () -> {
            runner.assignment = send.assignment();
            runner.state = runner.state == RunnerState.CHANGING ? RunnerState.SERVING : runner.state;
            reports.add(new OrderReport(send.orderId(), OrderReport.Outcome.CONFIRMED));
        });
    }

    private static double charge(TargetCharge charge) {
        return charge == TargetCharge.REGULAR ? 1 : PREEMPTIBLE_CHARGE;
    }

    private record Delivery(TargetPool pool, int count, int ordered) {}
}
