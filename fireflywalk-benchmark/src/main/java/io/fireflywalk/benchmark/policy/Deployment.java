package io.fireflywalk.benchmark.policy;

/** The two deployments of the design page. */
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

    /** Returns the runners of the service that takes long requests and short questions. */
    int largeRunners() {
        return largeRunners;
    }

    /** Returns the runners of the service that takes short tasks only. */
    int smallRunners() {
        return smallRunners;
    }
}
