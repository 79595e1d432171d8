package io.fireflywalk.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Usage records that this instance has received in parts or made itself, by key. What is known of a record never changes.
 * Beyond a maximum number of records those with the lowest keys are dropped, so that keys must begin with the window.
 * Not thread-safe.
 */
public final class UsageRecords {
    /** Largest number of parts of a record, which bounds the accounts in it. */
    public static final int MAXIMUM_PARTS = 64;

    private final int maximumRecords;
    private final TreeMap<String, PartialRecord> records = new TreeMap<>();

    private static final class PartialRecord {
        private final int parts;
        private final Map<Integer, Map<String, Long>> received = new HashMap<>();

        private PartialRecord(int parts) {
            this.parts = parts;
        }

        private Optional<Map<String, Long>> complete() {
            if (received.size() < parts) {
                return Optional.empty();
            }
            Map<String, Long> amounts = new TreeMap<>();
            received.values().forEach(amounts::putAll);
            return Optional.of(amounts);
        }
    }

    /** Creates an empty collection. */
    public UsageRecords(int maximumRecords) {
        this.maximumRecords = maximumRecords;
    }

    /** Adds a whole record unless one with the key is known. */
    public void add(String key, Map<String, Long> amounts) {
        addPart(key, 0, 1, amounts);
    }

    /** Adds a part of a record unless it is known; a part of another division of the record is ignored. */
    public void addPart(String key, int part, int parts, Map<String, Long> amounts) {
        if (parts < 1 || parts > MAXIMUM_PARTS || part < 0 || part >= parts) {
            return;
        }
        PartialRecord found = records.computeIfAbsent(key, name -> new PartialRecord(parts));
        if (found.parts == parts) {
            found.received.putIfAbsent(part, Map.copyOf(amounts));
        }
        if (records.size() > maximumRecords) {
            records.pollFirstEntry();
        }
    }

    /** Tells whether the record, or a part of it, is known. */
    public boolean isKnown(String key) {
        return records.containsKey(key);
    }

    /** Returns the record if all of it is known. */
    public Optional<Map<String, Long>> find(String key) {
        return Optional.ofNullable(records.get(key)).flatMap(PartialRecord::complete);
    }

    /** Returns the records of which all is known, lowest key first. */
    public Map<String, Map<String, Long>> complete() {
        Map<String, Map<String, Long>> found = new TreeMap<>();
        records.forEach((key, value) -> value.complete().ifPresent(amounts -> found.put(key, amounts)));
        return found;
    }
}
