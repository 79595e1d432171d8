package io.fireflywalk.core.admission;

/**
 * Load of the targets of one service as one instance sees it.
 *
 * @param pressure 0 for an idle fleet, 1 when a request can just meet its goals
 * @param capacity work in weighted tokens that raises the pressure by 1
 * @param queueSeconds expected wait of an admitted request before it is worked on
 */
public record FleetPressure(double pressure, double capacity, double queueSeconds) {
    private static final FleetPressure NONE = new FleetPressure(0, Double.MAX_VALUE, 0);

    /** Returns the pressure of a service whose load is not known. */
    public static FleetPressure none() {
        return NONE;
    }
}
