package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/**
 * Guards against estimates that hold for one kind of engine only: prompts of a faster one would be rejected although
 * they could be served in time, and those of a slower one would wait too long.
 */
class PrefillCalibrationProperties {
    private static final int OBSERVATIONS = 60;
    /** A third of the prompts wait for prompts that this instance does not know of. */
    private static final double DELAYED_FRACTION = 0.33;

    @Property(tries = 300)
    void factorApproachesTheSpeedOfTheEngine(@ForAll @DoubleRange(min = 0.3, max = 3) double speed, @ForAll long seed) {
        Random random = new Random(seed);
        PrefillCalibration calibration = new PrefillCalibration();
        for (int observation = 0; observation < OBSERVATIONS; observation++) {
            double model = 20 + random.nextDouble() * 300;
            double delay = random.nextDouble() < DELAYED_FRACTION ? random.nextDouble() * 500 : 0;
            calibration.observe(model, speed * model * (0.9 + 0.2 * random.nextDouble()) + delay);
        }
        double error = calibration.factor() / speed;
        assertTrue(error > 0.75 && error < 1.4, "factor " + calibration.factor() + " for speed " + speed);
    }
}
