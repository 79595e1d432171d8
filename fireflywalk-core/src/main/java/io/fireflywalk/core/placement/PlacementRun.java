package io.fireflywalk.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Working copy of the state during one run of placement. Confined to the call that made it. */
final class PlacementRun {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final FleetView view;
    private final FleetAssessment assessment;
    private final PlacementSettings settings;
    private final long now;
    private final Map<String, PendingChange> pending;
    private final Map<String, Long> lastChange;
    private final Map<TargetPool, Long> surplusSince;
    private final Map<String, Long> zoneLost;
    private final Map<ServedModel, DemandForecast> forecasts = new HashMap<>();
    private final List<PlacementDecision> decisions = new ArrayList<>();
    private WeightStoreBudget budget;
    private long nextChange;

    PlacementRun(FleetView view, PlacementState state, PlacementSettings settings, long now) {
        this.view = view;
        this.settings = settings;
        this.now = now;
        this.assessment = new FleetAssessment(view, settings);
        this.pending = new TreeMap<>(state.pending());
        this.lastChange = new HashMap<>(state.lastChange());
        this.surplusSince = new HashMap<>(state.surplusSince());
        this.zoneLost = new HashMap<>(state.zoneLost());
        this.budget = state.budget().at(now);
        this.nextChange = state.nextChange();
        lastChange.keySet().retainAll(names());
        zoneLost.keySet().retainAll(view.availabilityZones());
        view.availabilityZones().stream()
                .filter(zone -> !assessment.reachable(zone))
                .forEach(zone -> zoneLost.put(zone, now));
    }

    FleetView view() {
        return view;
    }

    FleetAssessment assessment() {
        return assessment;
    }

    PlacementSettings settings() {
        return settings;
    }

    long now() {
        return now;
    }

    Map<TargetPool, Long> surplusSince() {
        return surplusSince;
    }

    List<PendingChange> pending() {
        return List.copyOf(pending.values());
    }

    boolean isPending(String runner) {
        return pending.containsKey(runner);
    }

    DemandForecast forecast(ModelDemand demand) {
        return forecasts.computeIfAbsent(demand.served(), served -> DemandForecast.of(demand, settings));
    }

    double secondsSince(long time) {
        return (now - time) / NANOSECONDS_PER_SECOND;
    }

    void decide(PlacementDecision decision) {
        decisions.add(decision);
    }

    void put(PendingChange change) {
        pending.put(change.runner(), change);
    }

    void end(PendingChange change) {
        pending.remove(change.runner());
        lastChange.put(change.runner(), now);
    }

    boolean takeFromBudget(double gigabytes) {
        Optional<WeightStoreBudget> rest = budget.take(gigabytes);
        rest.ifPresent(value -> budget = value);
        return rest.isPresent();
    }

    String nextId(String subject) {
        return subject + "-" + now + "-" + nextChange++;
    }

    /** Returns runners that count as capacity of a model, without those that are about to leave it. */
    List<RunnerView> serving(ServedModel served) {
        return assessment.runners().stream()
                .filter(runner -> runner.assignment().served().equals(served))
                .filter(runner -> assessment.counts(runner) && !isPending(runner.name()))
                .toList();
    }

    /** Returns runners that are on their way to a model. */
    List<RunnerView> incoming(ServedModel served) {
        return pending.values().stream()
                .filter(change -> change.to().served().equals(served))
                .flatMap(change -> assessment.runner(change.runner()).stream())
                .toList();
    }

    /** Returns the runners of a list that may start a change, the least busy first. */
    List<RunnerView> changeable(List<RunnerView> runners) {
        return runners.stream()
                .filter(runner -> assessment.trusted(runner) && !isPending(runner.name()))
                .filter(runner -> assessment.reachable(runner.availabilityZone()))
                .filter(runner -> !lastChange.containsKey(runner.name())
                        || secondsSince(lastChange.get(runner.name())) >= settings.cooldownSeconds())
                .sorted(Comparator.comparingInt(RunnerView::runningRequests).thenComparing(RunnerView::name))
                .toList();
    }

    /** Tells whether one more runner of a model may be in a change, given how many serve it. */
    boolean mayChangeOneMore(ServedModel served, int serving, int minimumTargets) {
        long changing = pending.values().stream()
                .filter(change -> change.from().served().equals(served)
                        || change.to().served().equals(served))
                .count();
        long limit = Math.max(1, (long) (serving * settings.concurrentChangeFraction()));
        return changing < limit && serving - 1 >= minimumTargets;
    }

    void start(RunnerView runner, Assignment to, double gain, double cost) {
        PendingChange change = new PendingChange(
                nextId(runner.name()), runner.name(), runner.assignment(), to, PendingChange.Phase.DRAINING, now, 0);
        put(change);
        decide(new PlacementDecision.StartDrain(change, gain, cost));
    }

    /** Returns the zones that may get orders now. */
    List<String> orderableZones() {
        return view.availabilityZones().stream()
                .filter(zone ->
                        !zoneLost.containsKey(zone) || secondsSince(zoneLost.get(zone)) >= settings.zoneHoldSeconds())
                .toList();
    }

    PlacementOutcome outcome() {
        return new PlacementOutcome(
                decisions, new PlacementState(pending, lastChange, surplusSince, zoneLost, budget, nextChange));
    }

    private Set<String> names() {
        Set<String> names = new HashSet<>();
        assessment.runners().forEach(runner -> names.add(runner.name()));
        return names;
    }
}
