package io.fireflywalk.benchmark.policy;

/**
 * What a run compares.
 *
 * @param name name in records
 * @param routing how targets are chosen
 * @param shares true if client accounts' shares are kept
 * @param prefillRunners runners of the large service whose engine has the role PREFILL; the others have DECODE; 0 leaves
 *     all mixed
 * @param split true if requests may be split between runners of mixed role
 */
record Policy(String name, Routing routing, boolean shares, int prefillRunners, boolean split) {

    /** How targets are chosen. */
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

    /** Returns a fixed split with the same choice by expected times. */
    static Policy fixedSplit(int prefillRunners) {
        return new Policy("fixed split " + prefillRunners, Routing.EXPECTED, false, prefillRunners, false);
    }
}
