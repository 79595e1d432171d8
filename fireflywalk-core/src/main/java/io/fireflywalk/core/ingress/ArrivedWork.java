package io.fireflywalk.core.ingress;

/**
 * Totals of the work that arrived at one instance for a service, and of the load that it saw at the service's targets.
 * They only grow while the process runs, so that a later message makes up for a lost one.
 *
 * @param prefill prompts that are large enough for runners of the prefill stage
 * @param decode all other prompts, and the generation of all responses
 * @param prefillLoad load reports of runners of the prefill stage
 * @param decodeLoad load reports of the other runners
 */
public record ArrivedWork(Kind prefill, Kind decode, Load prefillLoad, Load decodeLoad) {
    /** Totals of an instance that has counted nothing. */
    public static final ArrivedWork NONE = new ArrivedWork(Kind.NONE, Kind.NONE, Load.NONE, Load.NONE);

    /**
     * Work of one kind.
     *
     * @param requests number of requests
     * @param milliseconds runner time that the requests need
     * @param objectiveMilliseconds sum of the latency objectives of the requests
     */
    public record Kind(double requests, double milliseconds, double objectiveMilliseconds) {
        static final Kind NONE = new Kind(0, 0, 0);

        Kind plus(Kind other) {
            return new Kind(
                    requests + other.requests,
                    milliseconds + other.milliseconds,
                    objectiveMilliseconds + other.objectiveMilliseconds);
        }

        Kind minus(Kind other) {
            return plus(other.times(-1));
        }

        Kind times(double factor) {
            return new Kind(requests * factor, milliseconds * factor, objectiveMilliseconds * factor);
        }
    }

    /**
     * Load of runners at the times when it was sampled.
     *
     * @param samples number of samples
     * @param requests sum of the runners' running and waiting requests
     */
    public record Load(double samples, double requests) {
        static final Load NONE = new Load(0, 0);

        Load plus(Load other) {
            return new Load(samples + other.samples, requests + other.requests);
        }

        Load minus(Load other) {
            return plus(other.times(-1));
        }

        Load times(double factor) {
            return new Load(samples * factor, requests * factor);
        }

        /** Returns the mean number of requests of a runner, or 0 if there is no sample. */
        double mean() {
            return samples > 0 ? requests / samples : 0;
        }
    }

    /** Returns the sum. */
    public ArrivedWork plus(ArrivedWork other) {
        return new ArrivedWork(
                prefill.plus(other.prefill),
                decode.plus(other.decode),
                prefillLoad.plus(other.prefillLoad),
                decodeLoad.plus(other.decodeLoad));
    }

    /** Returns the difference. */
    public ArrivedWork minus(ArrivedWork other) {
        return new ArrivedWork(
                prefill.minus(other.prefill),
                decode.minus(other.decode),
                prefillLoad.minus(other.prefillLoad),
                decodeLoad.minus(other.decodeLoad));
    }

    /** Returns the totals times a factor. */
    public ArrivedWork times(double factor) {
        return new ArrivedWork(
                prefill.times(factor), decode.times(factor), prefillLoad.times(factor), decodeLoad.times(factor));
    }
}
