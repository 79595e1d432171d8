package io.fireflywalk.core.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Where prompt prefixes are believed to be cached. A belief decays with time and with the prompt tokens that were sent
 * to the runner since, because the runner's cache is bounded. The hits that engines report correct it. Holds at most
 * {@value #MAXIMUM_PREFIXES} prefixes with {@value #HOLDERS} runners each; the least recently used one goes first.
 * Confined to one thread.
 */
public final class PrefixEstimate {
    private static final int MAXIMUM_PREFIXES = 8_192;
    private static final int HOLDERS = 3;
    private static final double HALF_LIFE_SECONDS = 120;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double WORTHLESS = 0.05;

    private final Map<Long, List<Holder>> holders = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<Holder>> eldest) {
            return size() > MAXIMUM_PREFIXES;
        }
    };

    /** Returns how many of the prompt's tokens the runner is expected to have cached. */
    public double cachedTokens(PrefixDigest prefix, String target, LoadView view, long now) {
        for (int i = prefix.size() - 1; i >= 0; i--) {
            for (Holder holder : holders.getOrDefault(prefix.hash(i), List.of())) {
                if (holder.target.equals(target)) {
                    return prefix.tokens(i) * confidence(holder, view, now);
                }
            }
        }
        return 0;
    }

    /** Returns the runners believed to hold the longest known part of the prompt, the latest first. */
    public List<String> holdersOf(PrefixDigest prefix) {
        for (int i = prefix.size() - 1; i >= 0; i--) {
            List<Holder> found = holders.get(prefix.hash(i));
            if (found != null && !found.isEmpty()) {
                return found.stream().map(Holder::target).toList();
            }
        }
        return List.of();
    }

    /** Notes that a prompt was sent to a runner, by this instance or by a peer. */
    public void sent(PrefixDigest prefix, String target, LoadView view, long now) {
        Holder holder = new Holder(target, now, view.runner(target).sentTokens());
        for (int i = 0; i < prefix.size(); i++) {
            List<Holder> present = holders.computeIfAbsent(prefix.hash(i), key -> new ArrayList<>(1));
            present.removeIf(other -> other.target.equals(target));
            present.add(0, holder);
            if (present.size() > HOLDERS) {
                present.remove(HOLDERS);
            }
        }
    }

    /** Corrects the belief by the cached tokens that the engine reported for a prompt. */
    public void reported(PrefixDigest prefix, String target, long cachedTokens, LoadView view, long now) {
        if (cachedTokens > 0) {
            sent(prefix, target, view, now);
        }
    }

    /** Forgets what a runner holds, after its engine started anew or refused to find a prefix. */
    public void evicted(PrefixDigest prefix, String target) {
        for (int i = 0; i < prefix.size(); i++) {
            Optional.ofNullable(holders.get(prefix.hash(i)))
                    .ifPresent(present -> present.removeIf(holder -> holder.target.equals(target)));
        }
    }

    /** Forgets all that a runner holds, after its engine started anew. */
    public void restarted(String target) {
        holders.values().forEach(present -> present.removeIf(holder -> holder.target.equals(target)));
    }

    private static double confidence(Holder holder, LoadView view, long now) {
        double age = (now - holder.at) / NANOSECONDS_PER_SECOND;
        double turnover = (view.runner(holder.target).sentTokens() - holder.sentTokensBefore)
                / (double) view.profile().prefixCacheTokens();
        double confidence = Math.exp(-0.7 * age / HALF_LIFE_SECONDS - Math.max(0, turnover - 1));
        return confidence < WORTHLESS ? 0 : confidence;
    }

    private record Holder(String target, long at, long sentTokensBefore) {}
}
