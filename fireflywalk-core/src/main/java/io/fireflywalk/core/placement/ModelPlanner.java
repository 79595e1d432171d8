package io.fireflywalk.core.placement;

import io.fireflywalk.core.routing.RunnerRole;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Moves runners from models with a surplus to models with a deficit. Stateless and thread-safe.
 *
 * <p>The need of a model is its forecast at planned utilization, and for models that need a zone's worth of spare so
 * much more that the loss of its largest zone leaves that need covered at the utilization after a loss. A move starts
 * only if the deficit over the horizon outweighs drain and load, the donor keeps its minimum, its need and its spare,
 * and the weight-store budget holds the load. A load is paid for when the change starts and is not refunded.
 */
final class ModelPlanner {

    void plan(PlacementRun run) {
        run.view().demands().stream()
                .filter(demand -> deficit(run, demand) > 0)
                .sorted(Comparator.comparingDouble((ModelDemand demand) -> -deficit(run, demand))
                        .thenComparing(demand -> demand.served().label()))
                .forEach(demand -> fill(run, demand));
    }

    private void fill(PlacementRun run, ModelDemand receiver) {
        double deficit = deficit(run, receiver);
        double gain = Math.min(1, deficit) * run.settings().horizonSeconds();
        Optional<Donation> best = run.view().demands().stream()
                .filter(donor -> !donor.served().equals(receiver.served()))
                .flatMap(donor -> donation(run, donor, receiver).stream())
                .min(Comparator.comparingDouble(Donation::cost)
                        .thenComparing(donation -> donation.runner().name()));
        best.filter(donation -> gain > donation.cost() * (1 + run.settings().hysteresis()))
                .filter(donation -> run.takeFromBudget(donation.gigabytes()))
                .ifPresent(donation -> run.start(
                        donation.runner(), new Assignment(receiver.served(), RunnerRole.MIXED), gain, donation.cost()));
    }

    private static Optional<Donation> donation(PlacementRun run, ModelDemand donor, ModelDemand receiver) {
        List<RunnerView> serving = run.serving(donor.served());
        if (!run.mayChangeOneMore(donor.served(), serving.size(), donor.minimumTargets())) {
            return Optional.empty();
        }
        double gigabytes = receiver.loadGigabytes(donor.served());
        double cost = run.settings().drainSeconds()
                + run.settings().roleChangeSeconds()
                + gigabytes * run.settings().loadSecondsPerGigabyte();
        return run.changeable(serving).stream()
                .filter(runner -> surplusWithout(run, donor, serving, runner)
                        >= run.settings().hysteresis())
                .findFirst()
                .map(runner -> new Donation(runner, gigabytes, cost));
    }

    private static double surplusWithout(
            PlacementRun run, ModelDemand donor, List<RunnerView> serving, RunnerView leaving) {
        List<RunnerView> rest = serving.stream()
                .filter(runner -> !runner.name().equals(leaving.name()))
                .toList();
        return -shortfall(run, donor, rest);
    }

    private static double deficit(PlacementRun run, ModelDemand demand) {
        List<RunnerView> runners = new ArrayList<>(run.serving(demand.served()));
        runners.addAll(run.incoming(demand.served()));
        return shortfall(run, demand, runners);
    }

    private static double shortfall(PlacementRun run, ModelDemand demand, List<RunnerView> runners) {
        DemandForecast forecast = run.forecast(demand);
        double need = Math.max(forecast.expected() / run.settings().utilization(), demand.minimumTargets());
        double shortNow = need - runners.size();
        if (!demand.zoneSpare()) {
            return shortNow;
        }
        double needAfterLoss =
                Math.max(forecast.expected() / run.settings().lossUtilization(), demand.minimumTargets());
        return Math.max(shortNow, needAfterLoss - (runners.size() - largestZone(runners)));
    }

    private static int largestZone(List<RunnerView> runners) {
        Map<String, Integer> counts = new HashMap<>();
        runners.forEach(runner -> counts.merge(runner.availabilityZone(), 1, Integer::sum));
        return counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private record Donation(RunnerView runner, double gigabytes, double cost) {}
}
