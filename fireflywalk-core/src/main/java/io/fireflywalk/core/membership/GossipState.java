package io.fireflywalk.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Gossip state of this member: the latest gossip item of each member and topic, with the number of transmissions left
 * for each. An item is sent a limited number of times after it was received, within a byte budget per message, so
 * traffic is bounded and proportional to the number of changes. Items beyond the limit of topics per member or of the
 * payload size are ignored. Not thread-safe; used from one event loop.
 */
public final class GossipState {
    private static final int MAXIMUM_TOPICS_PER_MEMBER = 16;
    private static final int MAXIMUM_PAYLOAD_CHARACTERS = 1024;
    /** Added to the binary logarithm of the member count, so that an item reaches nearly all members. */
    private static final int EXTRA_TRANSMISSIONS = 2;

    private final String self;
    private final Map<String, Entry> entries = new HashMap<>();

    public GossipState(String self) {
        this.self = self;
    }

    /** Sets this member's payload for a topic; an unchanged payload is not sent again. */
    public void publish(String topic, String payload, int memberCount) {
        Entry existing = entries.get(self + "/" + topic);
        if (existing != null && existing.item.payload().equals(payload)) {
            return;
        }
        long sequence = existing == null ? 1 : existing.item.sequence() + 1;
        put(new GossipItem(self, topic, sequence, payload), memberCount);
    }

    /** Merges items received from a peer and returns those that were new. */
    public List<GossipItem> merge(Collection<GossipItem> items, MemberSet members) {
        List<GossipItem> accepted = new ArrayList<>();
        for (GossipItem item : items) {
            Entry existing = entries.get(item.key());
            boolean known = existing != null && existing.item.sequence() >= item.sequence();
            boolean valid = members.contains(item.incarnation())
                    && !item.incarnation().equals(self)
                    && item.payload().length() <= MAXIMUM_PAYLOAD_CHARACTERS
                    && (existing != null || countTopics(item.incarnation()) < MAXIMUM_TOPICS_PER_MEMBER);
            if (!known && valid) {
                put(item, members.size());
                accepted.add(item);
            }
        }
        return accepted;
    }

    /** Returns items to send within the budget, those with the most transmissions left first. */
    public List<GossipItem> select(int budgetBytes) {
        List<GossipItem> selected = new ArrayList<>();
        int bytes = 0;
        List<Entry> pending = entries.values().stream()
                .filter(entry -> entry.transmissionsLeft > 0)
                .sorted(Comparator.comparingInt((Entry entry) -> -entry.transmissionsLeft)
                        .thenComparing(entry -> entry.item.key()))
                .toList();
        for (Entry entry : pending) {
            bytes += entry.item.approximateBytes();
            if (bytes > budgetBytes) {
                break;
            }
            entry.transmissionsLeft--;
            selected.add(entry.item);
        }
        return selected;
    }

    /** Returns the latest payload of a member for a topic. */
    public Optional<String> payload(String incarnation, String topic) {
        return Optional.ofNullable(entries.get(incarnation + "/" + topic)).map(entry -> entry.item.payload());
    }

    /** Removes the items of all members that the predicate rejects. */
    public void retain(Predicate<String> isRetained) {
        entries.values().removeIf(entry -> !isRetained.test(entry.item.incarnation()));
    }

    private void put(GossipItem item, int memberCount) {
        int transmissionsLeft = EXTRA_TRANSMISSIONS + Integer.SIZE - Integer.numberOfLeadingZeros(memberCount);
        entries.put(item.key(), new Entry(item, transmissionsLeft));
    }

    private long countTopics(String incarnation) {
        return entries.values().stream()
                .filter(entry -> entry.item.incarnation().equals(incarnation))
                .count();
    }

    private static final class Entry {
        private final GossipItem item;
        private int transmissionsLeft;

        private Entry(GossipItem item, int transmissionsLeft) {
            this.item = item;
            this.transmissionsLeft = transmissionsLeft;
        }
    }
}
