package io.fireflywalk.core.admission;

/**
 * Load of the targets of one service as one instance sees it.
 *
 * @param pressure 0 for an idle fleet, 1 if a request can just meet its latency goals
 * @param capacity work in weighted tokens that raises the pressure by 1
 * @param expectedQueueSeconds expected time that an admitted request waits at a target before it is processed
 */
public record FleetPressure(double pressure, double capacity, double expectedQueueSeconds) {
    private static final FleetPressure NONE = new FleetPressure(0, Double.MAX_VALUE, 0);

    /** Returns the pressure assumed for a service whose load is unknown. */
    public static FleetPressure none() {
        return NONE;
    }
}
