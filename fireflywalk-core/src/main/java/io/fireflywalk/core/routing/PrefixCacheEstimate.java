package io.fireflywalk.core.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates which runners have a prompt prefix in their prefix caches. The confidence decays with time and with the
 * prompt tokens sent to the runner since, because its cache is bounded. Cache hits that engines report renew it.
 * Bounded to {@value #MAXIMUM_PREFIXES} prefixes with {@value #MAXIMUM_HOLDERS} runners each; the least recently used
 * prefix is evicted first. Not thread-safe.
 */
public final class PrefixCacheEstimate {
    private static final int MAXIMUM_PREFIXES = 8_192;
    private static final int MAXIMUM_HOLDERS = 3;
    private static final double CONFIDENCE_HALF_LIFE_SECONDS = 120;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double MINIMUM_CONFIDENCE = 0.05;

    private final Map<Long, List<Holder>> holders = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<Holder>> eldest) {
            return size() > MAXIMUM_PREFIXES;
        }
    };

    /** Returns the expected number of the prompt's tokens in the runner's prefix cache. */
    public double cachedTokens(PrefixHashes prefix, String target, LoadView view, long now) {
        for (int i = prefix.size() - 1; i >= 0; i--) {
            for (Holder holder : holders.getOrDefault(prefix.hash(i), List.of())) {
                if (holder.target.equals(target)) {
                    return prefix.tokens(i) * confidence(holder, view, now);
                }
            }
        }
        return 0;
    }

    /** Returns the runners estimated to have the longest known prefix of the prompt, the most recent first. */
    public List<String> holdersOf(PrefixHashes prefix) {
        for (int i = prefix.size() - 1; i >= 0; i--) {
            List<Holder> prefixHolders = holders.get(prefix.hash(i));
            if (prefixHolders != null && !prefixHolders.isEmpty()) {
                return prefixHolders.stream().map(Holder::target).toList();
            }
        }
        return List.of();
    }

    /** Records that this instance or a peer sent a prompt to a runner. */
    public void recordSent(PrefixHashes prefix, String target, LoadView view, long now) {
        Holder holder = new Holder(target, now, view.runner(target).sentTokens());
        for (int i = 0; i < prefix.size(); i++) {
            List<Holder> prefixHolders = holders.computeIfAbsent(prefix.hash(i), key -> new ArrayList<>(1));
            prefixHolders.removeIf(other -> other.target.equals(target));
            prefixHolders.add(0, holder);
            if (prefixHolders.size() > MAXIMUM_HOLDERS) {
                prefixHolders.remove(MAXIMUM_HOLDERS);
            }
        }
    }

    /** Renews the estimate if the engine reported a cache hit for a prompt. */
    public void recordCacheHit(PrefixHashes prefix, String target, long cachedTokens, LoadView view, long now) {
        if (cachedTokens > 0) {
            recordSent(prefix, target, view, now);
        }
    }

    /** Removes a prompt's prefixes from the estimate for a runner. */
    public void recordEvicted(PrefixHashes prefix, String target) {
        for (int i = 0; i < prefix.size(); i++) {
            Optional.ofNullable(holders.get(prefix.hash(i)))
                    .ifPresent(prefixHolders -> prefixHolders.removeIf(holder -> holder.target.equals(target)));
        }
    }

    /** Removes all prefixes from the estimate for a runner whose engine has restarted. */
    public void clearRunner(String target) {
        holders.values().forEach(prefixHolders -> prefixHolders.removeIf(holder -> holder.target.equals(target)));
    }

    private static double confidence(Holder holder, LoadView view, long now) {
        double ageSeconds = (now - holder.sentAt) / NANOSECONDS_PER_SECOND;
        double turnover = (view.runner(holder.target).sentTokens() - holder.sentTokensAtSend)
                / (double) view.profile().prefixCacheTokens();
        double confidence = Math.exp(-0.7 * ageSeconds / CONFIDENCE_HALF_LIFE_SECONDS - Math.max(0, turnover - 1));
        return confidence < MINIMUM_CONFIDENCE ? 0 : confidence;
    }

    private record Holder(String target, long sentAt, long sentTokensAtSend) {}
}
