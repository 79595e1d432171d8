package io.fireflywalk.benchmark.policy;

/**
 * Routing and admission policy of a simulated run.
 *
 * @param name name in reports
 * @param routing how targets are chosen
 * @param sharesEnforced true if admission enforces the shares of client accounts
 * @param prefillRunners number of runners of the large service with the role PREFILL; the others have DECODE; 0
 *     leaves all mixed
 * @param splitEnabled true if prefill and decode of a request may run on different runners of mixed role
 */
record Policy(String name, Routing routing, boolean sharesEnforced, int prefillRunners, boolean splitEnabled) {

    /** Algorithm that selects a target. */
    enum Routing {
        ROUND_ROBIN,
        LEAST_REPORTED,
        EXPECTED
    }

    static Policy fireflywalk() {
        return new Policy("fireflywalk", Routing.EXPECTED, true, 0, true);
    }

    static Policy withoutShares() {
        return new Policy("no shares", Routing.EXPECTED, false, 0, true);
    }

    static Policy withoutSplit() {
        return new Policy("all mixed", Routing.EXPECTED, false, 0, false);
    }

    static Policy roundRobin() {
        return new Policy("round robin", Routing.ROUND_ROBIN, false, 0, false);
    }

    static Policy leastReported() {
        return new Policy("least reported", Routing.LEAST_REPORTED, false, 0, false);
    }

    /** Returns a fixed split of prefill and decode runners that also selects by expected time. */
    static Policy fixedSplit(int prefillRunners) {
        return new Policy("fixed split " + prefillRunners, Routing.EXPECTED, false, prefillRunners, false);
    }
}
