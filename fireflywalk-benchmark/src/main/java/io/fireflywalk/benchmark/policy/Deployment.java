package io.fireflywalk.benchmark.policy;

/** Sizes of the two simulated deployments. */
enum Deployment {
    LAKES(4, 8, 4),
    STITCHLINE(3, 8, 3);

    private final int zones;
    private final int largeRunners;
    private final int smallRunners;

    Deployment(int zones, int largeRunners, int smallRunners) {
        this.zones = zones;
        this.largeRunners = largeRunners;
        this.smallRunners = smallRunners;
    }

    int zones() {
        return zones;
    }

    /** Returns the number of runners of the service for long requests and short questions. */
    int largeRunners() {
        return largeRunners;
    }

    /** Returns the number of runners of the service for short tasks. */
    int smallRunners() {
        return smallRunners;
    }
}
