package io.fireflywalk.daemon.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Differences of totals that peers send. Digests replace each other on their way, so they carry totals since the start
 * of the peer, and a lost digest loses nothing. The first total of a peer is the baseline. Not thread-safe.
 */
final class CumulativeTotals {
    private final Map<String, Map<String, Long>> totalsByPeer = new HashMap<>();

    /** Returns what the total has grown by since the last one of the peer. */
    long growth(String peer, String name, long total) {
        Map<String, Long> totals = totalsByPeer.get(peer);
        if (totals == null) {
            return 0;
        }
        long before = totals.getOrDefault(name, 0L);
        return Math.max(0, total - before);
    }

    /** Notes the totals of a peer as seen. */
    void seen(String peer, Map<String, Long> totals) {
        totalsByPeer.computeIfAbsent(peer, unused -> new HashMap<>()).putAll(totals);
    }

    /** Forgets peers that are not among the live ones. */
    void retain(Set<String> livePeers) {
        totalsByPeer.keySet().retainAll(livePeers);
    }
}
