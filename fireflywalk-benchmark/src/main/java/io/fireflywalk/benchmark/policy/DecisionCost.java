package io.fireflywalk.benchmark.policy;

import com.sun.management.ThreadMXBean;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.routing.ExpectedTimeSelector;
import io.fireflywalk.core.routing.LoadReport;
import io.fireflywalk.core.routing.LoadView;
import io.fireflywalk.core.routing.PrefixDigest;
import io.fireflywalk.core.routing.PrefixEstimate;
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
 * Processor time and allocation of one routing decision against the number of known runners, the renewal of the lanes
 * included.
 */
final class DecisionCost {
    private static final int[] SIZES = {12, 120, 1_200, 12_000};
    private static final int WARM_UP = 1_600;
    private static final int DECISIONS = 800;
    /** Interval of the decisions of one instance at the target size, 32,000 a second over 410 instances. */
    private static final long INTERVAL_NANOSECONDS = 12_800_000;

    private static final int REPEATS = 5;

    private DecisionCost() {}

    static Measurement run(long seed) {
        StringBuilder text = new StringBuilder();
        double[] times = new double[SIZES.length];
        double[] bytes = new double[SIZES.length];
        for (int i = 0; i < SIZES.length; i++) {
            Spread time = new Spread();
            Spread allocation = new Spread();
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                measure(SIZES[i], seed + repeat, time, allocation);
            }
            times[i] = time.median();
            bytes[i] = allocation.median();
            text.append(String.format(
                    "%d runners: processor microseconds per decision %s; bytes allocated %s%n",
                    SIZES[i], time, allocation));
        }
        text.append(fit("processor microseconds", times)).append(fit("bytes allocated", bytes));
        double[] sizes = new double[SIZES.length];
        for (int i = 0; i < sizes.length; i++) {
            sizes[i] = SIZES[i];
        }
        SvgPlot plot = new SvgPlot("Cost of a routing decision", "known runners", "microseconds");
        return new Measurement(
                text.toString(), plot.line("processor time", sizes, times).render());
    }

    private static void measure(int size, long seed, Spread time, Spread allocation) {
        LoadView view = new LoadView(RunnerProfile.defaults());
        PrefixEstimate prefixes = new PrefixEstimate();
        ExpectedTimeSelector selector = new ExpectedTimeSelector(view, prefixes, RoutingSettings.defaults());
        List<Target> targets = new ArrayList<>();
        Random random = new Random(seed);
        for (int i = 0; i < size; i++) {
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
                    .reported(
                            new LoadReport("large", "1", RunnerRole.MIXED, random.nextInt(30), 1, 500, 0.3, i + 1L), 0);
        }
        List<RequestFeatures> requests = new ArrayList<>();
        for (int i = 0; i < 1_024; i++) {
            boolean isLong = i % 20 == 0;
            PrefixDigest prefix = isLong ? PrefixDigest.ofShared(i, 30_000) : PrefixDigest.empty();
            requests.add(new RequestFeatures(isLong ? 32_000 : 600, 150, 1, 20, prefix, Set.of()));
            if (isLong) {
                prefixes.sent(prefix, targets.get(random.nextInt(size)).name(), view, 0);
            }
        }
        decide(selector, requests, targets, random, 0, WARM_UP);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long bytesBefore = threads.getCurrentThreadAllocatedBytes();
        long timeBefore = threads.getCurrentThreadCpuTime();
        decide(selector, requests, targets, random, WARM_UP, WARM_UP + DECISIONS);
        time.add((threads.getCurrentThreadCpuTime() - timeBefore) / 1e3 / DECISIONS);
        allocation.add((threads.getCurrentThreadAllocatedBytes() - bytesBefore) / (double) DECISIONS);
    }

    private static void decide(
            ExpectedTimeSelector selector,
            List<RequestFeatures> requests,
            List<Target> targets,
            Random random,
            int from,
            int to) {
        int found = 0;
        for (int i = from; i < to; i++) {
            found += selector.select(requests.get(i % requests.size()), targets, i * INTERVAL_NANOSECONDS, random)
                            .isPresent()
                    ? 1
                    : 0;
        }
        if (found != to - from) {
            throw new IllegalStateException("decisions without a target: " + (to - from - found));
        }
    }

    /** Returns the least-squares line over the sizes. */
    private static String fit(String name, double[] values) {
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < SIZES.length; i++) {
            meanX += SIZES[i] / (double) SIZES.length;
            meanY += values[i] / SIZES.length;
        }
        double covariance = 0;
        double variance = 0;
        double total = 0;
        for (int i = 0; i < SIZES.length; i++) {
            covariance += (SIZES[i] - meanX) * (values[i] - meanY);
            variance += (SIZES[i] - meanX) * (SIZES[i] - meanX);
            total += (values[i] - meanY) * (values[i] - meanY);
        }
        double slope = covariance / variance;
        double determination = total == 0 ? 1 : slope * covariance / total;
        return String.format(
                Locale.ROOT,
                "linear fit of %s: %.4g + %.4g per 1,000 runners, R² %.3f%n",
                name,
                meanY - slope * meanX,
                slope * 1_000,
                determination);
    }
}
