package io.fireflywalk.core.routing;

import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.configuration.Target;
import java.util.Arrays;
import java.util.List;

/**
 * Turns the load estimates of a service's targets into one pressure: the larger of the wait in the lane that computes
 * prompts and the number of requests in the lane that generates, each relative to its goal. Of the first lane it counts
 * the less loaded half, because that is where short requests go; long prompts that fill the other half do not close
 * admission. Of a large lane it reads an evenly spaced part. Stateless.
 */
final class PressureGauge {
    /** Part of the first-token goal that may be spent on waiting for other prompts. */
    private static final double QUEUE_PART = 0.6;

    private static final int MAXIMUM_MEASURED = 64;

    private PressureGauge() {}

    static FleetPressure measure(
            LoadView view, List<Target> targets, Lanes lanes, RoutingSettings settings, double outputWeight, long now) {
        int[] prefill = lanes.prefill();
        int[] decode = lanes.decode().length > 0 ? lanes.decode() : prefill;
        if (prefill.length == 0) {
            return FleetPressure.none();
        }
        RunnerProfile profile = view.profile();
        double queueGoal = QUEUE_PART * settings.firstTokenGoalSeconds();
        double generatingGoal = profile.generatingWithin(settings.betweenTokensGoalSeconds() * settings.safetyFactor());
        double[] waits = measured(prefill.length);
        int stride = Math.max(1, prefill.length / MAXIMUM_MEASURED);
        for (int i = 0; i < waits.length; i++) {
            waits[i] = view.runner(targets.get(prefill[i * stride]).name()).firstTokenSeconds(0, now);
        }
        Arrays.sort(waits);
        double wait = 0;
        int half = (waits.length + 1) / 2;
        for (int i = 0; i < half; i++) {
            wait += waits[i] / half;
        }
        double[] generating = measured(decode.length);
        int decodeStride = Math.max(1, decode.length / MAXIMUM_MEASURED);
        double sum = 0;
        for (int i = 0; i < generating.length; i++) {
            sum += view.runner(targets.get(decode[i * decodeStride]).name()).generating(now);
        }
        double pressure = Math.max(wait / queueGoal, sum / generating.length / generatingGoal);
        double capacity = queueGoal * profile.prefillTokensPerSecond(0) * prefill.length
                + generatingGoal * outputWeight * decode.length;
        return new FleetPressure(pressure, capacity, waits[0]);
    }

    private static double[] measured(int size) {
        return new double[Math.max(1, size / Math.max(1, size / MAXIMUM_MEASURED))];
    }
}
