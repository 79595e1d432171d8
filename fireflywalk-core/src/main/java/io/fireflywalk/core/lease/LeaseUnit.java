package io.fireflywalk.core.lease;

/**
 * Unit of authority that one process holds at a time.
 *
 * @param kind what the holder may do
 * @param name name of the model pool, availability zone or usage window range
 */
public record LeaseUnit(Kind kind, String name) {

    /** What the holder of a unit may do. */
    public enum Kind {
        /** Place models and roles on the runners of a model pool. */
        POOL("pool"),
        /** Order and release targets in an availability zone. */
        ZONE("zone"),
        /** Report the usage of a range of windows. */
        REPORT("report");

        private final String prefix;

        Kind(String prefix) {
            this.prefix = prefix;
        }
    }

    /** Returns the unit of a model pool. */
    public static LeaseUnit pool(String model) {
        return new LeaseUnit(Kind.POOL, model);
    }

    /** Returns the unit of target orders in an availability zone. */
    public static LeaseUnit zone(String availabilityZone) {
        return new LeaseUnit(Kind.ZONE, availabilityZone);
    }

    /** Returns the unit of usage reports of a window range. */
    public static LeaseUnit report(String windowRange) {
        return new LeaseUnit(Kind.REPORT, windowRange);
    }

    /** Returns the key of the lease row. */
    public String key() {
        return kind.prefix + "/" + name;
    }
}
