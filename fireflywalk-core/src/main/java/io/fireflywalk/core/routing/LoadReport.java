package io.fireflywalk.core.routing;

/**
 * What an engine says of its load. It is already old when it arrives.
 *
 * @param model model that the engine serves
 * @param modelVersion version of the model
 * @param role present role
 * @param runningRequests requests that generate tokens
 * @param waitingRequests requests whose prompt is not computed yet
 * @param queuedPrefillTokens prompt tokens not computed yet
 * @param keyValueCacheUse used part of the KV cache, 0 to 1
 * @param sequence number of the report, counted up by the engine from its start
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

    /** Tells whether the figures can be true of one engine at one time. */
    public boolean plausible() {
        return runningRequests >= 0
                && waitingRequests >= 0
                && queuedPrefillTokens >= 0
                && keyValueCacheUse >= 0
                && keyValueCacheUse <= 1
                && (queuedPrefillTokens == 0 || waitingRequests > 0);
    }
}
