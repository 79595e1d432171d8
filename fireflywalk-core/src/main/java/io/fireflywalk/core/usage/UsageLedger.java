package io.fireflywalk.core.usage;

import io.fireflywalk.core.configuration.TargetCharge;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * Usage rows of one incarnation, with what the peers and the table service hold of them. Each change has a sequence
 * number; a peer or the table service holds everything up to a sequence number. Not thread-safe.
 */
public final class UsageLedger {
    private static final int COPIES_NEEDED = 2;

    private final String incarnation;
    private final int maximumRows;
    private final Map<UsageKey, Entry> rows = new HashMap<>();
    private final NavigableMap<Long, UsageKey> unflushed = new TreeMap<>();
    private final Map<Subject, UsageKey> latest = new HashMap<>();
    private final Map<String, PeerProgress> peers = new HashMap<>();
    private long currentWindow = Long.MIN_VALUE;
    private long sequence;
    private long flushedThrough;
    private long heldThrough;

    /** Makes an empty ledger; at the bound of rows, later answers are added to the newest row of their subject. */
    public UsageLedger(String incarnation, int maximumRows) {
        this.incarnation = incarnation;
        this.maximumRows = maximumRows;
    }

    /** Adds an amount and returns the sequence number of the change. */
    public long record(long window, String clientAccount, String service, TargetCharge charge, UsageAmount amount) {
        currentWindow = Math.max(currentWindow, window);
        Subject subject = new Subject(clientAccount, service, charge);
        UsageKey key = keyFor(subject);
        sequence++;
        Entry before = rows.get(key);
        if (before != null) {
            unflushed.remove(before.sequence());
        }
        rows.put(key, new Entry(before == null ? amount : before.amount().plus(amount), sequence));
        unflushed.put(sequence, key);
        latest.put(subject, key);
        return sequence;
    }

    /** Tells whether an answer for the account and service can be recorded within the bound of rows. */
    public boolean hasRoom(String clientAccount, String service, TargetCharge charge) {
        return rows.size() < maximumRows || latest.containsKey(new Subject(clientAccount, service, charge));
    }

    /** Sets the peers that hold copies; a new one gets all rows that the table service may lack. */
    public void setPeers(Collection<String> incarnations) {
        peers.keySet().retainAll(Set.copyOf(incarnations));
        incarnations.forEach(peer -> peers.computeIfAbsent(peer, name -> new PeerProgress()));
    }

    /** Returns the next rows for a peer, empty if it was sent everything. */
    public UsageBatch nextCopies(String peer, int limit) {
        PeerProgress progress = peers.get(peer);
        long from = progress == null ? sequence : progress.sentThrough;
        UsageBatch batch = batchAfter(from, limit);
        if (progress != null) {
            progress.sentThrough = batch.through();
        }
        return batch;
    }

    /** Notes that the peer holds everything up to the sequence number. */
    public void copiesHeld(String peer, long through) {
        PeerProgress progress = peers.get(peer);
        if (progress != null) {
            progress.heldThrough = Math.max(progress.heldThrough, through);
            updateHeld();
        }
    }

    /** Notes that the peer may lack what it was sent since its last confirmation. */
    public void copiesFailed(String peer) {
        PeerProgress progress = peers.get(peer);
        if (progress != null) {
            progress.sentThrough = progress.heldThrough;
        }
    }

    /** Returns the next rows for the table service. */
    public UsageBatch nextFlush(int limit) {
        return batchAfter(flushedThrough, limit);
    }

    /** Notes that the table service holds everything up to the sequence number. */
    public void flushed(long through) {
        flushedThrough = Math.max(flushedThrough, through);
        NavigableMap<Long, UsageKey> done = unflushed.headMap(flushedThrough, true);
        List<UsageKey> keys = List.copyOf(done.values());
        done.clear();
        keys.forEach(this::forgetIfEnded);
        updateHeld();
    }

    /** Forgets the flushed rows of windows before this one. */
    public void windowStarted(long window) {
        if (window <= currentWindow) {
            return;
        }
        currentWindow = window;
        List.copyOf(rows.keySet()).forEach(key -> {
            if (rows.get(key).sequence() <= flushedThrough) {
                forgetIfEnded(key);
            }
        });
    }

    /** Returns the sequence number up to which two peers or the table service hold all changes. */
    public long heldThrough() {
        return heldThrough;
    }

    /** Returns the sequence number up to which the table service holds all changes. */
    public long flushedThrough() {
        return flushedThrough;
    }

    /** Returns the sequence number of the last change. */
    public long lastSequence() {
        return sequence;
    }

    /** Returns the number of rows in memory. */
    public int size() {
        return rows.size();
    }

    private UsageKey keyFor(Subject subject) {
        UsageKey key =
                new UsageKey(currentWindow, incarnation, subject.clientAccount(), subject.service(), subject.charge());
        if (rows.containsKey(key) || rows.size() < maximumRows) {
            return key;
        }
        // A row may only grow while it is in memory, because a row that restarted at 0 would vanish in the maximum.
        return latest.getOrDefault(subject, key);
    }

    private UsageBatch batchAfter(long from, int limit) {
        List<CopiedRow> batch = new ArrayList<>();
        for (Map.Entry<Long, UsageKey> change : unflushed.tailMap(from, false).entrySet()) {
            if (batch.size() == limit) {
                return new UsageBatch(batch, batch.get(limit - 1).sequence());
            }
            UsageKey key = change.getValue();
            batch.add(new CopiedRow(new UsageRow(key, rows.get(key).amount()), change.getKey()));
        }
        return new UsageBatch(batch, sequence);
    }

    private void forgetIfEnded(UsageKey key) {
        if (key.window() < currentWindow) {
            rows.remove(key);
            latest.remove(new Subject(key.clientAccount(), key.service(), key.charge()), key);
        }
    }

    private void updateHeld() {
        List<Long> held = peers.values().stream()
                .map(progress -> progress.heldThrough)
                .sorted()
                .toList();
        long byPeers = held.size() < COPIES_NEEDED ? 0 : held.get(held.size() - COPIES_NEEDED);
        heldThrough = Math.max(heldThrough, Math.max(flushedThrough, byPeers));
    }

    private record Entry(UsageAmount amount, long sequence) {}

    private record Subject(String clientAccount, String service, TargetCharge charge) {}

    private final class PeerProgress {
        private long sentThrough = flushedThrough;
        private long heldThrough = flushedThrough;
    }
}
