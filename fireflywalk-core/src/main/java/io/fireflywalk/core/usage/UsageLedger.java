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
 * Usage rows of one incarnation, with the progress of their replication to peers and to the table service. Each change
 * gets a sequence number; a peer or the table service holds all changes up to some sequence number. Not thread-safe.
 */
public final class UsageLedger {
    private static final int REQUIRED_PEER_COPIES = 2;

    private final String incarnation;
    private final int maximumRows;
    private final Map<UsageKey, Entry> rows = new HashMap<>();
    private final NavigableMap<Long, UsageKey> unflushed = new TreeMap<>();
    private final Map<Subject, UsageKey> latestKeys = new HashMap<>();
    private final Map<String, PeerProgress> peers = new HashMap<>();
    private long currentWindow = Long.MIN_VALUE;
    private long sequence;
    private long flushedThrough;
    private long heldThrough;

    /** Creates an empty ledger; when it is full, usage is added to the latest row of the same account and service. */
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
        Entry previous = rows.get(key);
        if (previous != null) {
            unflushed.remove(previous.sequence());
        }
        rows.put(key, new Entry(previous == null ? amount : previous.amount().plus(amount), sequence));
        unflushed.put(sequence, key);
        latestKeys.put(subject, key);
        return sequence;
    }

    /** Returns whether usage of the account and service can be recorded within the maximum number of rows. */
    public boolean hasCapacity(String clientAccount, String service, TargetCharge charge) {
        return rows.size() < maximumRows || latestKeys.containsKey(new Subject(clientAccount, service, charge));
    }

    /** Sets the peers that hold copies; a new peer is sent all rows that the table service may not have. */
    public void setPeers(Collection<String> incarnations) {
        peers.keySet().retainAll(Set.copyOf(incarnations));
        incarnations.forEach(peer -> peers.computeIfAbsent(peer, name -> new PeerProgress()));
    }

    /** Returns the next rows to send to a peer; empty if all were sent. */
    public UsageBatch nextCopies(String peer, int limit) {
        PeerProgress progress = peers.get(peer);
        long from = progress == null ? sequence : progress.sentThrough;
        UsageBatch batch = nextBatch(from, limit);
        if (progress != null) {
            progress.sentThrough = batch.through();
        }
        return batch;
    }

    /** Records that the peer holds all changes up to the sequence number. */
    public void copiesAcknowledged(String peer, long through) {
        PeerProgress progress = peers.get(peer);
        if (progress != null) {
            progress.heldThrough = Math.max(progress.heldThrough, through);
            updateHeldThrough();
        }
    }

    /** Records that changes sent since the peer's last acknowledgement may be lost and have to be sent again. */
    public void copiesFailed(String peer) {
        PeerProgress progress = peers.get(peer);
        if (progress != null) {
            progress.sentThrough = progress.heldThrough;
        }
    }

    /** Returns the next rows to write to the table service. */
    public UsageBatch nextFlush(int limit) {
        return nextBatch(flushedThrough, limit);
    }

    /** Records that the table service holds all changes up to the sequence number. */
    public void flushed(long through) {
        flushedThrough = Math.max(flushedThrough, through);
        NavigableMap<Long, UsageKey> flushedChanges = unflushed.headMap(flushedThrough, true);
        List<UsageKey> keys = List.copyOf(flushedChanges.values());
        flushedChanges.clear();
        keys.forEach(this::removeIfWindowEnded);
        updateHeldThrough();
    }

    /** Starts a window and removes the flushed rows of earlier ones. */
    public void startWindow(long window) {
        if (window <= currentWindow) {
            return;
        }
        currentWindow = window;
        List.copyOf(rows.keySet()).forEach(key -> {
            if (rows.get(key).sequence() <= flushedThrough) {
                removeIfWindowEnded(key);
            }
        });
    }

    /** Returns the sequence number up to which two peers or the table service hold all changes. */
    public long copiedThrough() {
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
        // Only rows in memory may grow: rows are merged by maximum, so usage in a row that restarted at 0 would be
        // lost.
        return latestKeys.getOrDefault(subject, key);
    }

    private UsageBatch nextBatch(long from, int limit) {
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

    private void removeIfWindowEnded(UsageKey key) {
        if (key.window() < currentWindow) {
            rows.remove(key);
            latestKeys.remove(new Subject(key.clientAccount(), key.service(), key.charge()), key);
        }
    }

    private void updateHeldThrough() {
        List<Long> heldPerPeer = peers.values().stream()
                .map(progress -> progress.heldThrough)
                .sorted()
                .toList();
        long heldByPeers = heldPerPeer.size() < REQUIRED_PEER_COPIES
                ? 0
                : heldPerPeer.get(heldPerPeer.size() - REQUIRED_PEER_COPIES);
        heldThrough = Math.max(heldThrough, Math.max(flushedThrough, heldByPeers));
    }

    private record Entry(UsageAmount amount, long sequence) {}

    private record Subject(String clientAccount, String service, TargetCharge charge) {}

    private final class PeerProgress {
        private long sentThrough = flushedThrough;
        private long heldThrough = flushedThrough;
    }
}
