package io.fireflywalk.core.routing;

/**
 * Load reported by an engine. It is outdated on arrival by the polling and transmission delay.
 *
 * @param model model that the engine serves
 * @param modelVersion version of the model
 * @param role current role
 * @param runningRequests requests that are decoding
 * @param waitingRequests requests whose prefill is not finished
 * @param queuedPrefillTokens prompt tokens whose prefill is not finished
 * @param keyValueCacheUse used fraction of the KV cache, 0 to 1
 * @param sequence number of the report; increases from the start of the engine
 */
public record LoadReport(
        String model,
        String modelVersion,
        RunnerRole role,
        int runningRequests,
        int waitingRequests,
        long queuedPrefillTokens,
        double keyValueCacheUse,
        long sequence) {

    /** Returns whether the values are in range and consistent with each other. */
    public boolean plausible() {
        return runningRequests >= 0
                && waitingRequests >= 0
                && queuedPrefillTokens >= 0
                && keyValueCacheUse >= 0
                && keyValueCacheUse <= 1
                && (queuedPrefillTokens == 0 || waitingRequests > 0);
    }
}
