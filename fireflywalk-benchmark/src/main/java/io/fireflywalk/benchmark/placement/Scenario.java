package io.fireflywalk.benchmark.placement;

import java.util.function.DoubleUnaryOperator;

/**
 * Demand and events of a run.
 *
 * @param name name in the record
 * @param seconds length
 * @param warmUpSeconds time at the start that is not counted
 * @param work offered work in runners at a second
 * @param prefillShare share of prefill in the work at a second
 * @param shifts number of shifts of the share after the warm-up
 * @param zoneLossSeconds time at which a zone of preemptible targets vanishes, 0 for never
 */
public record Scenario(
        String name,
        int seconds,
        int warmUpSeconds,
        DoubleUnaryOperator work,
        DoubleUnaryOperator prefillShare,
        int shifts,
        int zoneLossSeconds) {
    private static final int PHASE_SECONDS = 180;
    private static final int SHIFT_PHASES = 9;
    private static final double LOW_SHARE = 0.3;
    private static final double HIGH_SHARE = 0.6;
    private static final int DAY_SECONDS = 2_400;
    private static final double DAY_LEAST = 4;
    private static final double DAY_RANGE = 5;

    /** Returns constant work whose share of prefill doubles and halves every three minutes. */
    public static Scenario ofShifts(double work) {
        return new Scenario(
                "shifts",
                PHASE_SECONDS * SHIFT_PHASES,
                PHASE_SECONDS,
                second -> work,
                second -> (int) (second / PHASE_SECONDS) % 2 == 0 ? LOW_SHARE : HIGH_SHARE,
                SHIFT_PHASES - 1,
                0);
    }

    /** Returns a day in 40 minutes whose work rises to a peak and falls, with the loss of a zone near the peak. */
    public static Scenario ofDay() {
        return new Scenario(
                "day",
                DAY_SECONDS,
                60,
                second -> DAY_LEAST + DAY_RANGE * (1 - Math.cos(2 * Math.PI * second / DAY_SECONDS)) / 2,
                second -> 0.4,
                0,
                DAY_SECONDS * 11 / 20);
    }

    /** Returns the greatest offered work. */
    public double peakWork() {
        double peak = 0;
        for (int second = 0; second < seconds; second++) {
            peak = Math.max(peak, work.applyAsDouble(second));
        }
        return peak;
    }
}
