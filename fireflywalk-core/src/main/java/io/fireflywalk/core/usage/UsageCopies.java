package io.fireflywalk.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Copies of usage rows of other incarnations that may not be in the table service yet. Messages may arrive late or more
 * than once, because rows are merged by maximum. Not thread-safe.
 */
public final class UsageCopies {
    private final int maximumRows;
    private final Map<String, Owner> owners = new HashMap<>();
    private int size;

    /** Creates an empty store that rejects further copies when it holds {@code maximumRows} rows. */
    public UsageCopies(int maximumRows) {
        this.maximumRows = maximumRows;
    }

    /** Stores the rows and removes those that the owner has flushed; returns false if the rows were rejected. */
    public boolean accept(String incarnation, List<CopiedRow> rows, long flushedThrough, long nowNanoseconds) {
        Owner owner = owners.computeIfAbsent(incarnation, name -> new Owner());
        owner.lastMessageAt = nowNanoseconds;
        owner.flushedThrough = Math.max(owner.flushedThrough, flushedThrough);
        int previousSize = owner.rows.size();
        owner.rows.values().removeIf(copy -> copy.sequence() <= owner.flushedThrough);
        size += owner.rows.size() - previousSize;
        if (size + rows.size() > maximumRows) {
            return false;
        }
        previousSize = owner.rows.size();
        for (CopiedRow copy : rows) {
            if (copy.sequence() > owner.flushedThrough) {
                owner.rows.merge(copy.row().key(), copy, UsageCopies::merge);
            }
        }
        size += owner.rows.size() - previousSize;
        return true;
    }

    /** Returns at most {@code limit} rows of owners from which no message came within the time in {@code timeouts}. */
    public List<UsageRow> dueForFlush(Set<String> live, long nowNanoseconds, OwnerTimeouts timeouts, int limit) {
        List<UsageRow> due = new ArrayList<>();
        owners.forEach((incarnation, owner) -> {
            long timeoutNanoseconds =
                    live.contains(incarnation) ? timeouts.liveOwnerNanoseconds() : timeouts.deadOwnerNanoseconds();
            if (nowNanoseconds - owner.lastMessageAt > timeoutNanoseconds) {
                owner.rows.values().stream()
                        .limit(Math.max(0, limit - due.size()))
                        .forEach(copy -> due.add(copy.row()));
            }
        });
        owners.values()
                .removeIf(owner ->
                        owner.rows.isEmpty() && nowNanoseconds - owner.lastMessageAt > timeouts.liveOwnerNanoseconds());
        return due;
    }

    /** Removes the rows that were flushed on behalf of their owners, unless a newer version has arrived since. */
    public void flushed(List<UsageRow> rows) {
        for (UsageRow row : rows) {
            Owner owner = owners.get(row.key().incarnation());
            if (owner != null && owner.rows.containsKey(row.key())) {
                if (owner.rows.get(row.key()).row().equals(row)) {
                    owner.rows.remove(row.key());
                    size--;
                }
            }
        }
    }

    /** Returns the number of rows held for other incarnations. */
    public int size() {
        return size;
    }

    /**
     * Time without a message from an owner after which its rows are flushed on its behalf.
     *
     * @param deadOwnerNanoseconds time for an owner that is not alive
     * @param liveOwnerNanoseconds time for an owner that is alive
     */
    public record OwnerTimeouts(long deadOwnerNanoseconds, long liveOwnerNanoseconds) {}

    private static CopiedRow merge(CopiedRow first, CopiedRow second) {
        UsageAmount amount = first.row().amount().maximum(second.row().amount());
        return new CopiedRow(new UsageRow(first.row().key(), amount), Math.max(first.sequence(), second.sequence()));
    }

    private static final class Owner {
        private final Map<UsageKey, CopiedRow> rows = new HashMap<>();
        private long flushedThrough;
        private long lastMessageAt;
    }
}
