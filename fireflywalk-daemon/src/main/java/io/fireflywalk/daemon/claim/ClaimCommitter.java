package io.fireflywalk.daemon.claim;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.claim.ClaimOperation;
import io.fireflywalk.core.claim.ClaimRecord;
import io.fireflywalk.core.claim.ClaimResult;
import io.fireflywalk.core.claim.ClaimRules;
import io.fireflywalk.core.claim.ClaimState;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.table.RowCondition;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

/**
 * Commits operations on claims in batches, one transaction per shard and interval. The condition on each row decides,
 * so two owners of a shard are harmless. Confined to one event loop.
 */
public final class ClaimCommitter {
    /** Table of the claims. */
    public static final String TABLE = "claim";

    private static final int OPERATIONS_PER_BATCH = 256;
    private static final int MAXIMUM_WAITING = 4096;
    private static final int MAXIMUM_ROUNDS = 6;
    private static final ClaimResult UNAVAILABLE = new ClaimResult(ClaimResult.Kind.UNAVAILABLE, 0, Optional.empty());

    private final TableService tables;
    private final SettledTransactions transactions;
    private final TimerService timers;
    private final int shards;
    private final Duration interval;
    private final int expiryHours;
    private final Counter committed;
    private final Map<Integer, Shard> queues = new HashMap<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private int waiting;

    public ClaimCommitter(
            TableService tables,
            TimerService timers,
            int shards,
            Duration interval,
            int expiryHours,
            MetricRegistry metrics) {
        this.tables = tables;
        this.transactions = new SettledTransactions(tables, timers);
        this.timers = timers;
        this.shards = shards;
        this.interval = interval;
        this.expiryHours = expiryHours;
        this.committed = metrics.counter("claim_transactions");
    }

    /** Returns the shard of a claim's key. */
    public static int shardOf(String key, int shards) {
        return (int) Long.remainderUnsigned(RendezvousHashing.hash(key), shards);
    }

    /** Adds the operation to its shard's next batch and emits its result; it starts without a subscription. */
    public Single<ClaimResult> submit(ClaimOperation operation) {
        if (waiting >= MAXIMUM_WAITING) {
            return Single.just(UNAVAILABLE);
        }
        waiting++;
        Pending pending = new Pending(operation);
        Shard shard = queues.computeIfAbsent(shardOf(operation.key(), shards), number -> new Shard());
        shard.queue.add(pending);
        pump(shard);
        return pending.result;
    }

    /** Stops; waiting operations get no result. */
    public void stop() {
        subscriptions.clear();
    }

    private void pump(Shard shard) {
        if (shard.busy || shard.queue.isEmpty()) {
            return;
        }
        shard.busy = true;
        long now = timers.monotonicNanoseconds();
        long wait = shard.nextAt.map(at -> at - now).orElse(0L);
        Completable ready = wait > 0 ? timers.after(Duration.ofNanos(wait)) : Completable.complete();
        subscriptions.add(ready.observeOn(timers.scheduler())
                .andThen(Completable.defer(() -> {
                    shard.nextAt = Optional.of(timers.monotonicNanoseconds() + interval.toNanos());
                    List<Pending> batch = takeBatch(shard);
                    return commit(batch, 1).onErrorComplete(cause -> {
                        batch.forEach(pending -> finish(pending, UNAVAILABLE));
                        return true;
                    });
                }))
                .subscribe(() -> {
                    shard.busy = false;
                    pump(shard);
                }));
    }

    private static List<Pending> takeBatch(Shard shard) {
        List<Pending> batch = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        Deque<Pending> left = new ArrayDeque<>();
        while (!shard.queue.isEmpty() && batch.size() < OPERATIONS_PER_BATCH) {
            Pending pending = shard.queue.poll();
            // Two operations on one row need two transactions.
            if (keys.add(pending.operation.key())) {
                batch.add(pending);
            } else {
                left.add(pending);
            }
        }
        while (!left.isEmpty()) {
            shard.queue.addFirst(left.pollLast());
        }
        return batch;
    }

    private Completable commit(List<Pending> batch, int round) {
        List<Pending> writing = new ArrayList<>();
        for (Pending pending : batch) {
            Optional<ClaimResult> decided =
                    ClaimRules.decide(pending.operation, pending.existing, pending.version, expiryHours);
            decided.ifPresentOrElse(result -> finish(pending, result), () -> writing.add(pending));
        }
        if (writing.isEmpty()) {
            return Completable.complete();
        }
        if (round > MAXIMUM_ROUNDS) {
            writing.forEach(pending -> finish(pending, UNAVAILABLE));
            return Completable.complete();
        }
        Transaction.Builder builder = Transaction.builder(UUID.randomUUID().toString());
        for (Pending pending : writing) {
            builder.expect(TABLE, pending.operation.key(), pending.version)
                    .put(TABLE, pending.operation.key(), Codec.json().write(pending.operation.wanted()));
        }
        committed.inc();
        return transactions
                .execute(builder.build())
                .observeOn(timers.scheduler())
                .flatMapCompletable(result -> resolve(result, writing, round));
    }

    private Completable resolve(TransactionResult result, List<Pending> writing, int round) {
        if (result.committed()) {
            for (Pending pending : writing) {
                finish(pending, new ClaimResult(ClaimResult.Kind.DONE, pending.version + 1, Optional.empty()));
            }
            return Completable.complete();
        }
        Set<String> failed = new HashSet<>();
        for (RowCondition condition : result.failedConditions()) {
            failed.add(condition.key());
        }
        return Observable.fromIterable(writing)
                .filter(pending -> failed.contains(pending.operation.key()))
                .flatMapCompletable(this::read)
                .andThen(Completable.defer(() -> commit(writing, round + 1)));
    }

    private Completable read(Pending pending) {
        return tables.read(TABLE, pending.operation.key())
                .observeOn(timers.scheduler())
                .flatMapCompletable(row -> Completable.fromAction(() -> {
                    pending.version = row.isPresent() ? row.get().version() : 0;
                    pending.existing = row.isPresent()
                            ? Optional.of(Codec.json()
                                    .read(
                                            row.get().value(),
                                            ClaimRecord.class,
                                            row.get().key()))
                            : Optional.empty();
                }));
    }

    private void finish(Pending pending, ClaimResult result) {
        if (!pending.result.hasValue()) {
            waiting--;
            pending.result.onSuccess(result);
        }
    }

    private static final class Pending {
        private final ClaimOperation operation;
        private final SingleSubject<ClaimResult> result = SingleSubject.create();
        private long version;
        private Optional<ClaimRecord> existing;

        /** Starts from what the row most likely is, so that the usual operation needs no read. */
        Pending(ClaimOperation operation) {
            this.operation = operation;
            this.version = operation.knownVersion();
            this.existing = version == 0
                    ? Optional.empty()
                    : Optional.of(operation.wanted().with(ClaimState.IN_PROGRESS, Optional.empty()));
            if (operation.takes()) {
                this.version = 0;
                this.existing = Optional.empty();
            }
        }
    }

    private static final class Shard {
        private final Deque<Pending> queue = new ArrayDeque<>();
        private boolean busy;
        private Optional<Long> nextAt = Optional.empty();
    }
}
