package io.fireflywalk.core.routing;

import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.configuration.Target;
import java.util.Arrays;
import java.util.List;

/**
 * Combines the load estimates of a service's targets into one pressure value: the larger of the queue time in the
 * prefill group and the number of requests per runner in the decode group, each relative to its goal. Only the less
 * loaded half of the prefill group counts, because short requests go there; long prompts that occupy the other half do
 * not stop admission. A large group is sampled at regular intervals. Stateless.
 */
final class FleetPressureEstimator {
    /** Fraction of the time-to-first-token goal that may be spent waiting for other prompts. */
    private static final double QUEUE_FRACTION = 0.6;

    private static final int MAXIMUM_SAMPLED_RUNNERS = 64;

    private FleetPressureEstimator() {}

    static FleetPressure estimate(
            LoadView view,
            List<Target> targets,
            RunnerGroups groups,
            RoutingSettings settings,
            double outputWeight,
            long now) {
        int[] prefill = groups.prefill();
        int[] decode = groups.decode().length > 0 ? groups.decode() : prefill;
        if (prefill.length == 0) {
            return FleetPressure.none();
        }
        RunnerProfile profile = view.profile();
        double queueGoalSeconds = QUEUE_FRACTION * settings.firstTokenGoalSeconds();
        double requestsGoal =
                profile.maximumDecodingRequests(settings.betweenTokensGoalSeconds() * settings.safetyFactor());
        double[] waits = newSampleArray(prefill.length);
        int prefillStride = Math.max(1, prefill.length / MAXIMUM_SAMPLED_RUNNERS);
        for (int i = 0; i < waits.length; i++) {
            waits[i] =
                    view.runner(targets.get(prefill[i * prefillStride]).name()).firstTokenSeconds(0, now);
        }
        Arrays.sort(waits);
        double averageWait = 0;
        int halfCount = (waits.length + 1) / 2;
        for (int i = 0; i < halfCount; i++) {
            averageWait += waits[i] / halfCount;
        }
        double[] requests = newSampleArray(decode.length);
        int decodeStride = Math.max(1, decode.length / MAXIMUM_SAMPLED_RUNNERS);
        double requestsSum = 0;
        for (int i = 0; i < requests.length; i++) {
            requestsSum +=
                    view.runner(targets.get(decode[i * decodeStride]).name()).activeRequests(now);
        }
        double pressure = Math.max(averageWait / queueGoalSeconds, requestsSum / requests.length / requestsGoal);
        double capacity = queueGoalSeconds * profile.prefillTokensPerSecond(0) * prefill.length
                + requestsGoal * outputWeight * decode.length;
        return new FleetPressure(pressure, capacity, waits[0]);
    }

    private static double[] newSampleArray(int size) {
        return new double[Math.max(1, size / Math.max(1, size / MAXIMUM_SAMPLED_RUNNERS))];
    }
}
