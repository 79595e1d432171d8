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
 * The newest digest items of all members, and how often each is still to be passed on. Messages carry only items that
 * are new to this member, within a budget of bytes, so the traffic follows the changes and stays bounded. Bounds: one
 * item per member and topic, a number of topics per member, a payload size; what exceeds them is ignored. Confined to
 * one event loop.
 */
public final class DigestBoard {
    private static final int MAXIMUM_TOPICS = 16;
    private static final int MAXIMUM_PAYLOAD_CHARACTERS = 1024;
    /** Transmissions of a new item beyond the binary logarithm of the members, so that nearly all members get it. */
    private static final int EXTRA_TRANSMISSIONS = 2;

    private final String self;
    private final Map<String, Entry> entries = new HashMap<>();

    public DigestBoard(String self) {
        this.self = self;
    }

    /** Sets this member's payload on a topic; the same payload again sends nothing. */
    public void publish(String topic, String payload, int memberCount) {
        Entry present = entries.get(self + "/" + topic);
        if (present != null && present.item.payload().equals(payload)) {
            return;
        }
        long sequence = present == null ? 1 : present.item.sequence() + 1;
        put(new DigestItem(self, topic, sequence, payload), memberCount);
    }

    /** Takes items from a peer and returns those that were new. */
    public List<DigestItem> merge(Collection<DigestItem> items, MemberSet members) {
        List<DigestItem> fresh = new ArrayList<>();
        for (DigestItem item : items) {
            Entry present = entries.get(item.key());
            boolean known = present != null && present.item.sequence() >= item.sequence();
            boolean acceptable = members.contains(item.incarnation())
                    && !item.incarnation().equals(self)
                    && item.payload().length() <= MAXIMUM_PAYLOAD_CHARACTERS
                    && (present != null || topicsOf(item.incarnation()) < MAXIMUM_TOPICS);
            if (!known && acceptable) {
                put(item, members.size());
                fresh.add(item);
            }
        }
        return fresh;
    }

    /** Returns items to pass on, least often sent first, within the budget. */
    public List<DigestItem> select(int budgetBytes) {
        List<DigestItem> selected = new ArrayList<>();
        int bytes = 0;
        List<Entry> pending = entries.values().stream()
                .filter(entry -> entry.transmissions > 0)
                .sorted(Comparator.comparingInt((Entry entry) -> -entry.transmissions)
                        .thenComparing(entry -> entry.item.key()))
                .toList();
        for (Entry entry : pending) {
            bytes += entry.item.approximateBytes();
            if (bytes > budgetBytes) {
                break;
            }
            entry.transmissions--;
            selected.add(entry.item);
        }
        return selected;
    }

    /** Returns the newest payload of a member on a topic. */
    public Optional<String> payload(String incarnation, String topic) {
        return Optional.ofNullable(entries.get(incarnation + "/" + topic)).map(entry -> entry.item.payload());
    }

    /** Forgets the items of all members that the predicate does not keep. */
    public void retain(Predicate<String> keepsIncarnation) {
        entries.values().removeIf(entry -> !keepsIncarnation.test(entry.item.incarnation()));
    }

    private void put(DigestItem item, int memberCount) {
        int transmissions = EXTRA_TRANSMISSIONS + Integer.SIZE - Integer.numberOfLeadingZeros(memberCount);
        entries.put(item.key(), new Entry(item, transmissions));
    }

    private long topicsOf(String incarnation) {
        return entries.values().stream()
                .filter(entry -> entry.item.incarnation().equals(incarnation))
                .count();
    }

    private static final class Entry {
        private final DigestItem item;
        private int transmissions;

        private Entry(DigestItem item, int transmissions) {
            this.item = item;
            this.transmissions = transmissions;
        }
    }
}
