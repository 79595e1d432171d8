package io.fireflywalk.core.lease;

/**
 * What a lease grants authority over. At most one process holds the lease of a unit at a time.
 *
 * @param kind kind of authority
 * @param name name of the model pool, the availability zone or the range of usage windows
 */
public record LeaseUnit(Kind kind, String name) {

    /** Kinds of authority. */
    public enum Kind {
        /** Place models and roles on the runners of a model pool. */
        POOL("pool"),
        /** Order and release targets in an availability zone. */
        ZONE("zone"),
        /** Report the usage of a range of usage windows. */
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

    /** Returns the unit for target orders in an availability zone. */
    public static LeaseUnit zone(String availabilityZone) {
        return new LeaseUnit(Kind.ZONE, availabilityZone);
    }

    /** Returns the unit for usage reports of a range of usage windows. */
    public static LeaseUnit report(String windowRange) {
        return new LeaseUnit(Kind.REPORT, windowRange);
    }

    /** Returns the key of the lease row. */
    public String key() {
        return kind.prefix + "/" + name;
    }
}
