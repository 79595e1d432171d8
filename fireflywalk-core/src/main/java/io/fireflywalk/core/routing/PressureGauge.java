package io.fireflywalk.core.routing;

import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.configuration.Target;
import java.util.Arrays;
import java.util.List;

/**
 * Turns the load estimates of a service's targets into one pressure. It counts the less loaded half, because that is
 * where short requests go; long prompts that fill the other half do not close admission. Stateless.
 */
public final class PressureGauge {
    /** Part of the first-token goal that may be spent on waiting for other prompts. */
    private static final double QUEUE_PART = 0.6;

    private static final int MAXIMUM_MEASURED = 64;

    private PressureGauge() {}

    /** Returns the pressure over the targets, or over an evenly spaced part of a large pool. */
    public static FleetPressure measure(
            LoadView view, List<Target> targets, RoutingSettings settings, double outputWeight, long now) {
        int stride = Math.max(1, targets.size() / MAXIMUM_MEASURED);
        double[] pressures = new double[targets.size() / stride + 1];
        double queueSeconds = Double.MAX_VALUE;
        int count = 0;
        RunnerProfile profile = view.profile();
        double queueGoal = QUEUE_PART * settings.firstTokenGoalSeconds();
        double generatingGoal = profile.generatingWithin(settings.betweenTokensGoalSeconds() * settings.safetyFactor());
        for (int i = 0; i < targets.size(); i += stride) {
            RunnerLoad load = view.runner(targets.get(i).name());
            if (!targets.get(i).leaving() && !load.avoided(now)) {
                double seconds = load.firstTokenSeconds(0, now);
                pressures[count] = Math.max(seconds / queueGoal, load.generating(now) / generatingGoal);
                queueSeconds = Math.min(queueSeconds, seconds);
                count++;
            }
        }
        if (count == 0) {
            return FleetPressure.none();
        }
        Arrays.sort(pressures, 0, count);
        int half = (count + 1) / 2;
        double sum = 0;
        for (int i = 0; i < half; i++) {
            sum += pressures[i];
        }
        double capacity = queueGoal * profile.prefillTokensPerSecond(generatingGoal / 2) * count * stride
                + generatingGoal * outputWeight * count * stride;
        return new FleetPressure(sum / half, capacity, queueSeconds);
    }
}
