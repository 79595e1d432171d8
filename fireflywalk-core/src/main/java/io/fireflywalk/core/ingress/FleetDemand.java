package io.fireflywalk.core.ingress;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Work that arrives at all instances for a service, from the totals that the instances send about once a second.
 * Not thread-safe.
 */
public final class FleetDemand {
    /** Age after which the totals of an instance count as missing; three messages in a row were lost then. */
    private static final long TOTALS_LIFETIME_NANOSECONDS = 4_000_000_000L;
    /** Fraction of the instances whose totals are enough; the others are assumed to receive as much. */
    private static final double MINIMUM_COVERAGE = 0.6;
    /** Seconds of which a high quantile is planned for; a window contains five waves, or a whole surge. */
    private static final int PEAK_WINDOW = 15;
    /** Fraction of the window's seconds that may exceed the peak, so that one random second does not decide. */
    private static final double EXCEEDING_FRACTION = 0.1;
    /** Seconds of which the mean is planned for, times the factor of a surge. */
    private static final int MEAN_WINDOW = 45;
    /** Surges raise the load by up to this factor, sooner than a target boots. */
    private static final double SURGE_FACTOR = 1.8;
    /** Seconds of which the load of the targets is averaged. */
    private static final int LOAD_WINDOW = 5;
    /** Bounds the memory; totals of further instances are ignored, and the others are extrapolated. */
    private static final int MAXIMUM_INSTANCES = 4096;

    private final Map<String, InstanceTotals> instances = new HashMap<>();
    private final Deque<ArrivedWork> samples = new ArrayDeque<>();

    private record InstanceTotals(
            long run, long uptimeMilliseconds, ArrivedWork totals, Optional<ArrivedWork> perSecond, long receivedAt) {}

    /**
     * Demand that a fleet has to be sized for.
     *
     * @param prefill work of a peak second
     * @param decode work of a peak second
     * @param prefillLoad mean load of a runner of the prefill stage
     * @param decodeLoad mean load of any other runner
     */
    public record Demand(ArrivedWork.Kind prefill, ArrivedWork.Kind decode, double prefillLoad, double decodeLoad) {}

    /**
     * Records the totals of an instance.
     *
     * @param run number that is larger for a later process of the instance
     * @param uptimeMilliseconds time since the start of the process, which orders its messages
     */
    public void record(String instance, long run, long uptimeMilliseconds, ArrivedWork totals, long now) {
        InstanceTotals previous = instances.get(instance);
        if (previous == null) {
            if (instances.size() < MAXIMUM_INSTANCES) {
                instances.put(instance, new InstanceTotals(run, uptimeMilliseconds, totals, Optional.empty(), now));
            }
        } else if (run > previous.run()) {
            instances.put(instance, new InstanceTotals(run, uptimeMilliseconds, totals, Optional.empty(), now));
        } else if (run == previous.run() && uptimeMilliseconds > previous.uptimeMilliseconds()) {
            boolean restarted = totals.prefill().requests()
                            < previous.totals().prefill().requests()
                    || totals.decode().requests() < previous.totals().decode().requests();
            double seconds = (uptimeMilliseconds - previous.uptimeMilliseconds()) / 1000.0;
            ArrivedWork perSecond = totals.minus(previous.totals()).times(1 / seconds);
            instances.put(
                    instance,
                    new InstanceTotals(
                            run,
                            uptimeMilliseconds,
                            totals,
                            restarted ? Optional.empty() : Optional.of(perSecond),
                            now));
        }
    }

    /**
     * Adds the work of the latest second to the window. Called once a second.
     *
     * @param instanceCount number of live instances
     * @return the work of the second; empty if the totals of too many instances are missing
     */
    public Optional<ArrivedWork> sample(int instanceCount, long now) {
        instances.values().removeIf(totals -> now - totals.receivedAt() > TOTALS_LIFETIME_NANOSECONDS);
        List<ArrivedWork> known = instances.values().stream()
                .flatMap(totals -> totals.perSecond().stream())
                .toList();
        if (known.isEmpty() || known.size() < MINIMUM_COVERAGE * instanceCount) {
            return Optional.empty();
        }
        double factor = Math.max(1, (double) instanceCount / known.size());
        ArrivedWork sum =
                known.stream().reduce(ArrivedWork.NONE, ArrivedWork::plus).times(factor);
        samples.addLast(sum);
        if (samples.size() > MEAN_WINDOW) {
            samples.removeFirst();
        }
        return Optional.of(sum);
    }

    /** Returns the demand according to the window. */
    public Demand demand() {
        List<ArrivedWork> recent = latest(PEAK_WINDOW);
        List<ArrivedWork> load = latest(LOAD_WINDOW);
        return new Demand(
                peak(recent, ArrivedWork::prefill),
                peak(recent, ArrivedWork::decode),
                load.stream()
                        .map(ArrivedWork::prefillLoad)
                        .reduce(ArrivedWork.Load.NONE, ArrivedWork.Load::plus)
                        .mean(),
                load.stream()
                        .map(ArrivedWork::decodeLoad)
                        .reduce(ArrivedWork.Load.NONE, ArrivedWork.Load::plus)
                        .mean());
    }

    private List<ArrivedWork> latest(int count) {
        return samples.stream().skip(Math.max(0, samples.size() - count)).toList();
    }

    /** Returns the window's requests and objectives with the work of a peak second. */
    private ArrivedWork.Kind peak(List<ArrivedWork> recent, Function<ArrivedWork, ArrivedWork.Kind> kind) {
        ToDoubleFunction<ArrivedWork> work = sample -> kind.apply(sample).milliseconds();
        List<Double> sorted = new ArrayList<>(
                recent.stream().mapToDouble(work).sorted().boxed().toList());
        double high = sorted.isEmpty()
                ? 0
                : sorted.get(Math.max(0, (int) Math.ceil((1 - EXCEEDING_FRACTION) * sorted.size()) - 1));
        double mean = samples.stream().mapToDouble(work).average().orElse(0);
        ArrivedWork.Kind sum = samples.stream().map(kind).reduce(ArrivedWork.Kind.NONE, ArrivedWork.Kind::plus);
        // The mean of a few seconds is that of one wave, which would be taken for the base of a surge.
        double peak = samples.size() < PEAK_WINDOW ? high : Math.max(high, SURGE_FACTOR * mean);
        return sum.milliseconds() > 0 ? sum.times(peak / sum.milliseconds()) : ArrivedWork.Kind.NONE;
    }
}
