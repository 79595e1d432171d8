package io.fireflywalk.benchmark.policy;

import com.sun.management.ThreadMXBean;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.routing.ExpectedTimeSelector;
import io.fireflywalk.core.routing.LoadReport;
import io.fireflywalk.core.routing.LoadView;
import io.fireflywalk.core.routing.PrefixCacheEstimate;
import io.fireflywalk.core.routing.PrefixHashes;
import io.fireflywalk.core.routing.RequestFeatures;
import io.fireflywalk.core.routing.RoutingSettings;
import io.fireflywalk.core.routing.RunnerProfile;
import io.fireflywalk.core.routing.RunnerRole;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;

/**
 * Measures CPU time and allocation of one routing decision by number of known runners, including the periodic division
 * of the runners between prefill and decode.
 */
final class DecisionCost {
    private static final int[] RUNNER_COUNTS = {12, 120, 1_200, 12_000};
    private static final int WARM_UP_DECISIONS = 1_600;
    private static final int MEASURED_DECISIONS = 800;
    /** Time between decisions of one instance at the target fleet size: 32,000 per second over 410 instances. */
    private static final long DECISION_INTERVAL_NANOSECONDS = 12_800_000;

    private static final int REPEATS = 5;

    private DecisionCost() {}

    static MeasurementResult run(long seed) {
        StringBuilder report = new StringBuilder();
        double[] cpuMicroseconds = new double[RUNNER_COUNTS.length];
        double[] allocatedBytes = new double[RUNNER_COUNTS.length];
        for (int i = 0; i < RUNNER_COUNTS.length; i++) {
            Samples cpuTime = new Samples();
            Samples allocation = new Samples();
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                measure(RUNNER_COUNTS[i], seed + repeat, cpuTime, allocation);
            }
            cpuMicroseconds[i] = cpuTime.median();
            allocatedBytes[i] = allocation.median();
            report.append(String.format(
                    "%d runners: processor microseconds per decision %s; bytes allocated %s%n",
                    RUNNER_COUNTS[i], cpuTime, allocation));
        }
        report.append(fit("processor microseconds", cpuMicroseconds)).append(fit("bytes allocated", allocatedBytes));
        double[] runnerCounts = new double[RUNNER_COUNTS.length];
        for (int i = 0; i < runnerCounts.length; i++) {
            runnerCounts[i] = RUNNER_COUNTS[i];
        }
        SvgPlot plot = new SvgPlot("Cost of a routing decision", "known runners", "microseconds");
        return new MeasurementResult(
                report.toString(),
                plot.line("processor time", runnerCounts, cpuMicroseconds).render());
    }

    private static void measure(int runnerCount, long seed, Samples cpuTime, Samples allocation) {
        LoadView view = new LoadView(RunnerProfile.defaults());
        PrefixCacheEstimate cacheEstimate = new PrefixCacheEstimate();
        ExpectedTimeSelector selector = new ExpectedTimeSelector(view, cacheEstimate, RoutingSettings.defaults());
        List<Target> targets = new ArrayList<>();
        Random random = new Random(seed);
        for (int i = 0; i < runnerCount; i++) {
            String name = "runner-" + i;
            targets.add(new Target(
                    name,
                    "large",
                    "127.0.0.1",
                    1,
                    "zone",
                    "1",
                    TargetCharge.REGULAR,
                    OrderChecking.CHECKS_FENCING_TOKEN,
                    false));
            view.runner(name)
                    .recordReport(
                            new LoadReport("large", "1", RunnerRole.MIXED, random.nextInt(30), 1, 500, 0.3, i + 1L), 0);
        }
        List<RequestFeatures> requests = new ArrayList<>();
        for (int i = 0; i < 1_024; i++) {
            boolean isLong = i % 20 == 0;
            PrefixHashes prefix = isLong ? PrefixHashes.ofSimulatedPrefix(i, 30_000) : PrefixHashes.empty();
            requests.add(new RequestFeatures(isLong ? 32_000 : 600, 150, 1, 20, prefix, Set.of()));
            if (isLong) {
                cacheEstimate.recordSent(
                        prefix, targets.get(random.nextInt(runnerCount)).name(), view, 0);
            }
        }
        decide(selector, requests, targets, random, 0, WARM_UP_DECISIONS);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long bytesBefore = threads.getCurrentThreadAllocatedBytes();
        long cpuTimeBefore = threads.getCurrentThreadCpuTime();
        decide(selector, requests, targets, random, WARM_UP_DECISIONS, WARM_UP_DECISIONS + MEASURED_DECISIONS);
        cpuTime.add((threads.getCurrentThreadCpuTime() - cpuTimeBefore) / 1e3 / MEASURED_DECISIONS);
        allocation.add((threads.getCurrentThreadAllocatedBytes() - bytesBefore) / (double) MEASURED_DECISIONS);
    }

    private static void decide(
            ExpectedTimeSelector selector,
            List<RequestFeatures> requests,
            List<Target> targets,
            Random random,
            int from,
            int to) {
        int selected = 0;
        for (int i = from; i < to; i++) {
            selected += selector.select(
                                    requests.get(i % requests.size()),
                                    targets,
                                    i * DECISION_INTERVAL_NANOSECONDS,
                                    random)
                            .isPresent()
                    ? 1
                    : 0;
        }
        if (selected != to - from) {
            throw new IllegalStateException("routing decisions that found no target: " + (to - from - selected));
        }
    }

    /** Formats the least-squares line through the values over the numbers of runners. */
    private static String fit(String name, double[] values) {
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < RUNNER_COUNTS.length; i++) {
            meanX += RUNNER_COUNTS[i] / (double) RUNNER_COUNTS.length;
            meanY += values[i] / RUNNER_COUNTS.length;
        }
        double covariance = 0;
        double variance = 0;
        double totalVariance = 0;
        for (int i = 0; i < RUNNER_COUNTS.length; i++) {
            covariance += (RUNNER_COUNTS[i] - meanX) * (values[i] - meanY);
            variance += (RUNNER_COUNTS[i] - meanX) * (RUNNER_COUNTS[i] - meanX);
            totalVariance += (values[i] - meanY) * (values[i] - meanY);
        }
        double slope = covariance / variance;
        double rSquared = totalVariance == 0 ? 1 : slope * covariance / totalVariance;
        return String.format(
                Locale.ROOT,
                "linear fit of %s: %.4g + %.4g per 1,000 runners, R² %.3f%n",
                name,
                meanY - slope * meanX,
                slope * 1_000,
                rSquared);
    }
}
