package io.fireflywalk.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Copies of other incarnations' rows that the table service may lack. Messages may be late or duplicated, because rows
 * merge by maximum. Not thread-safe.
 */
public final class UsageCopies {
    private final int maximumRows;
    private final Map<String, Owner> owners = new HashMap<>();
    private int size;

    /** Makes an empty store with a bound of rows, at which it refuses further copies. */
    public UsageCopies(int maximumRows) {
        this.maximumRows = maximumRows;
    }

    /** Takes the rows and drops those that the owner has flushed; returns false if the rows were refused. */
    public boolean accept(String incarnation, List<CopiedRow> rows, long flushedThrough, long nowNanoseconds) {
        Owner owner = owners.computeIfAbsent(incarnation, name -> new Owner());
        owner.heardAt = nowNanoseconds;
        owner.flushedThrough = Math.max(owner.flushedThrough, flushedThrough);
        int before = owner.rows.size();
        owner.rows.values().removeIf(copy -> copy.sequence() <= owner.flushedThrough);
        size += owner.rows.size() - before;
        if (size + rows.size() > maximumRows) {
            return false;
        }
        before = owner.rows.size();
        for (CopiedRow copy : rows) {
            if (copy.sequence() > owner.flushedThrough) {
                owner.rows.merge(copy.row().key(), copy, UsageCopies::merge);
            }
        }
        size += owner.rows.size() - before;
        return true;
    }

    /** Returns at most {@code limit} rows of owners that sent nothing for a time: shorter if they are not alive. */
    public List<UsageRow> due(Set<String> live, long nowNanoseconds, Silence silence, int limit) {
        List<UsageRow> due = new ArrayList<>();
        owners.forEach((incarnation, owner) -> {
            long allowed = live.contains(incarnation) ? silence.aliveNanoseconds() : silence.goneNanoseconds();
            if (nowNanoseconds - owner.heardAt > allowed) {
                owner.rows.values().stream()
                        .limit(Math.max(0, limit - due.size()))
                        .forEach(copy -> due.add(copy.row()));
            }
        });
        owners.values()
                .removeIf(owner -> owner.rows.isEmpty() && nowNanoseconds - owner.heardAt > silence.aliveNanoseconds());
        return due;
    }

    /** Drops the rows that were flushed for their owners, unless a newer version has come since. */
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

    /** Returns the number of rows held for others. */
    public int size() {
        return size;
    }

    /** Time without a message after which an owner's rows are flushed for it. */
    public record Silence(long goneNanoseconds, long aliveNanoseconds) {}

    private static CopiedRow merge(CopiedRow first, CopiedRow second) {
        UsageAmount amount = first.row().amount().maximum(second.row().amount());
        return new CopiedRow(new UsageRow(first.row().key(), amount), Math.max(first.sequence(), second.sequence()));
    }

    private static final class Owner {
        private final Map<UsageKey, CopiedRow> rows = new HashMap<>();
        private long flushedThrough;
        private long heardAt;
    }
}
