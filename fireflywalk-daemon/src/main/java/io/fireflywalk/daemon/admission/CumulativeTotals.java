package io.fireflywalk.daemon.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Computes the growth of totals reported by peers. A newer digest can replace an older one before it is delivered, so
 * digests carry totals since the start of the peer, and a lost digest loses no work. The first totals of a peer are its
 * baseline. Not thread-safe.
 */
final class CumulativeTotals {
    private final Map<String, Map<String, Long>> totalsByPeer = new HashMap<>();

    /** Returns the growth since the last recorded total of the peer; 0 if the peer has no baseline yet. */
    long growth(String peer, String name, long total) {
        Map<String, Long> totals = totalsByPeer.get(peer);
        if (totals == null) {
            return 0;
        }
        long previous = totals.getOrDefault(name, 0L);
        return Math.max(0, total - previous);
    }

    /** Records the totals of a peer. */
    void recordTotals(String peer, Map<String, Long> totals) {
        totalsByPeer.computeIfAbsent(peer, unused -> new HashMap<>()).putAll(totals);
    }

    /** Removes the totals of peers that are no longer live. */
    void retain(Set<String> livePeers) {
        totalsByPeer.keySet().retainAll(livePeers);
    }
}
