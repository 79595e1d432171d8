package io.fireflywalk.core.ingress;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Estimate of the prompt parts in a runner's KV cache, with eviction of the least recently used parts. Not thread-safe.
 */
final class KvCacheEstimate {
    /** Bounds the memory if callers declare very small parts; a cache of real prompts holds about a hundred parts. */
    private static final int MAXIMUM_PARTS = 1024;

    /** Parts in order of last use, least recent first. */
    private final Map<String, CachedPart> parts = new LinkedHashMap<>();

    private final IntSupplier capacityTokens;
    private long tokens;

    private record CachedPart(int tokens, long availableAt) {}

    KvCacheEstimate(IntSupplier capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Records the use of a part.
     *
     * @param availableAt time at which prefill of the part ends, if the cache does not contain it yet
     */
    void recordUse(String part, int partTokens, long availableAt) {
        CachedPart cached = parts.remove(part);
        parts.put(part, cached == null ? new CachedPart(partTokens, availableAt) : cached);
        tokens += cached == null ? partTokens : 0;
        Iterator<CachedPart> eldest = parts.values().iterator();
        while ((tokens > capacityTokens.getAsInt() || parts.size() > MAXIMUM_PARTS) && eldest.hasNext()) {
            tokens -= eldest.next().tokens();
            eldest.remove();
        }
    }

    /** Removes a part whose prefill is still pending. */
    void discardPending(String part, long now) {
        CachedPart cached = parts.get(part);
        if (cached != null && cached.availableAt() > now) {
            parts.remove(part);
            tokens -= cached.tokens();
        }
    }

    void clear() {
        parts.clear();
        tokens = 0;
    }

    /** Tells whether the part is in the cache, or will be once a pending prefill finishes. */
    boolean containsOrExpects(String part) {
        return parts.containsKey(part);
    }

    /** Tells whether the part is in the cache, so that another runner can fetch it. */
    boolean contains(String part, long now) {
        CachedPart cached = parts.get(part);
        return cached != null && cached.availableAt() <= now;
    }
}
