package io.fireflywalk.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Judgement of a fleet view as evidence. Stateless and thread-safe.
 *
 * <p>A stale report supports no change of its runner. A silent runner counts as capacity until the lost limit, because
 * silence is more often a lost report than a lost runner. Reports of one runner that contradict each other make it
 * untrusted: it is neither changed nor released, and it counts neither as capacity of the old model nor of the new one.
 * When at least the freeze fraction of the fleet is silent, the fault is probably on this side, and nothing is started.
 * A zone whose runners are all silent or gone is unreachable: it gets no orders, and its runners are not released.
 */
public final class FleetAssessment {
    private final PlacementSettings settings;
    private final Map<String, RunnerView> runners = new LinkedHashMap<>();
    private final Set<String> contradictory = new HashSet<>();
    private final Set<String> unreachableZones = new HashSet<>();
    private final int silent;

    public FleetAssessment(FleetView view, PlacementSettings settings) {
        this.settings = settings;
        for (RunnerView runner : view.runners()) {
            RunnerView before = runners.putIfAbsent(runner.name(), runner);
            if (before != null) {
                boolean sameZone = before.availabilityZone().equals(runner.availabilityZone());
                if (!before.assignment().equals(runner.assignment()) || !sameZone) {
                    contradictory.add(runner.name());
                }
                if (runner.reportAgeSeconds() < before.reportAgeSeconds()) {
                    runners.put(runner.name(), runner);
                }
            }
        }
        this.silent = (int) runners.values().stream().filter(this::isSilent).count();
        Map<String, Boolean> anyHeard = new HashMap<>();
        runners.values()
                .forEach(runner -> anyHeard.merge(
                        runner.availabilityZone(),
                        !isSilent(runner) && runner.state() != RunnerState.CRASHED,
                        Boolean::logicalOr));
        anyHeard.forEach((zone, heard) -> {
            if (!heard) {
                unreachableZones.add(zone);
            }
        });
        runners.values().stream()
                .filter(runner -> runner.state() == RunnerState.RECLAIM_NOTICE)
                .forEach(runner -> unreachableZones.add(runner.availabilityZone()));
    }

    /** Returns the newest report of each runner. */
    public List<RunnerView> runners() {
        return List.copyOf(runners.values());
    }

    /** Returns the newest report of a runner. */
    public Optional<RunnerView> runner(String name) {
        return Optional.ofNullable(runners.get(name));
    }

    /** Tells whether too much of the fleet is silent to start anything. */
    public boolean frozen() {
        return !runners.isEmpty() && silent >= settings.freezeFraction() * runners.size();
    }

    /** Returns the number of runners without a fresh report. */
    public int silent() {
        return silent;
    }

    /** Tells whether a runner's report supports a change or a release. */
    public boolean trusted(RunnerView runner) {
        return !isSilent(runner) && !contradictory.contains(runner.name()) && runner.state() == RunnerState.SERVING;
    }

    /** Tells whether a runner counts as capacity of the model that it reports. */
    public boolean counts(RunnerView runner) {
        return runner.state() == RunnerState.SERVING
                && !contradictory.contains(runner.name())
                && runner.reportAgeSeconds() < settings.lostSeconds();
    }

    /** Tells whether orders may go to a zone. */
    public boolean reachable(String zone) {
        return !unreachableZones.contains(zone);
    }

    private boolean isSilent(RunnerView runner) {
        return runner.reportAgeSeconds() >= settings.staleSeconds();
    }
}
