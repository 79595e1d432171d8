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
 * Commits operations on claims in batches, one transaction per shard and interval. Each row is written only at its
 * expected version, so two owners of a shard do no harm. Confined to one event loop.
 */
public final class ClaimCommitter {
    public static final String TABLE = "claim";

    private static final int MAXIMUM_BATCH_OPERATIONS = 256;
    private static final int MAXIMUM_PENDING_OPERATIONS = 4096;
    private static final int MAXIMUM_COMMIT_ATTEMPTS = 6;
    private static final ClaimResult UNAVAILABLE = new ClaimResult(ClaimResult.Kind.UNAVAILABLE, 0, Optional.empty());

    private final TableService tables;
    private final TransactionExecutor transactionExecutor;
    private final TimerService timers;
    private final int shardCount;
    private final Duration batchInterval;
    private final int expiryHours;
    private final Counter transactionCounter;
    private final Map<Integer, ShardQueue> queuesByShard = new HashMap<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private int pendingCount;

    public ClaimCommitter(
            TableService tables,
            TimerService timers,
            int shardCount,
            Duration batchInterval,
            int expiryHours,
            MetricRegistry metrics) {
        this.tables = tables;
        this.transactionExecutor = new TransactionExecutor(tables, timers);
        this.timers = timers;
        this.shardCount = shardCount;
        this.batchInterval = batchInterval;
        this.expiryHours = expiryHours;
        this.transactionCounter = metrics.counter("claim_transactions");
    }

    /** Returns the index of the shard that holds the key. */
    public static int shardOf(String key, int shardCount) {
        return (int) Long.remainderUnsigned(RendezvousHashing.hash(key), shardCount);
    }

    /** Adds the operation to a batch of its shard and emits the result; starts without a subscription. */
    public Single<ClaimResult> submit(ClaimOperation operation) {
        if (pendingCount >= MAXIMUM_PENDING_OPERATIONS) {
            return Single.just(UNAVAILABLE);
        }
        pendingCount++;
        PendingOperation pending = new PendingOperation(operation);
        ShardQueue queue =
                queuesByShard.computeIfAbsent(shardOf(operation.key(), shardCount), index -> new ShardQueue());
        queue.operations.add(pending);
        scheduleNextBatch(queue);
        return pending.result;
    }

    /** Stops committing; pending operations get no result. */
    public void stop() {
        subscriptions.clear();
    }

    private void scheduleNextBatch(ShardQueue queue) {
        if (queue.batchInProgress || queue.operations.isEmpty()) {
            return;
        }
        queue.batchInProgress = true;
        long now = timers.monotonicNanoseconds();
        long delayNanoseconds = queue.nextBatchAt.map(at -> at - now).orElse(0L);
        Completable delay =
                delayNanoseconds > 0 ? timers.after(Duration.ofNanos(delayNanoseconds)) : Completable.complete();
        subscriptions.add(delay.observeOn(timers.scheduler())
                .andThen(Completable.defer(() -> {
                    queue.nextBatchAt = Optional.of(timers.monotonicNanoseconds() + batchInterval.toNanos());
                    List<PendingOperation> batch = takeBatch(queue);
                    return commit(batch, 1).onErrorComplete(cause -> {
                        batch.forEach(pending -> completeWith(pending, UNAVAILABLE));
                        return true;
                    });
                }))
                .subscribe(() -> {
                    queue.batchInProgress = false;
                    scheduleNextBatch(queue);
                }));
    }

    private static List<PendingOperation> takeBatch(ShardQueue queue) {
        List<PendingOperation> batch = new ArrayList<>();
        Set<String> keysInBatch = new HashSet<>();
        Deque<PendingOperation> deferred = new ArrayDeque<>();
        while (!queue.operations.isEmpty() && batch.size() < MAXIMUM_BATCH_OPERATIONS) {
            PendingOperation pending = queue.operations.poll();
            // Operations on the same row need separate transactions.
            if (keysInBatch.add(pending.operation.key())) {
                batch.add(pending);
            } else {
                deferred.add(pending);
            }
        }
        while (!deferred.isEmpty()) {
            queue.operations.addFirst(deferred.pollLast());
        }
        return batch;
    }

    private Completable commit(List<PendingOperation> batch, int attempt) {
        List<PendingOperation> unresolved = new ArrayList<>();
        for (PendingOperation pending : batch) {
            Optional<ClaimResult> decision =
                    ClaimRules.decide(pending.operation, pending.expectedClaim, pending.expectedVersion, expiryHours);
            decision.ifPresentOrElse(result -> completeWith(pending, result), () -> unresolved.add(pending));
        }
        if (unresolved.isEmpty()) {
            return Completable.complete();
        }
        if (attempt > MAXIMUM_COMMIT_ATTEMPTS) {
            unresolved.forEach(pending -> completeWith(pending, UNAVAILABLE));
            return Completable.complete();
        }
        Transaction.Builder builder = Transaction.builder(UUID.randomUUID().toString());
        for (PendingOperation pending : unresolved) {
            builder.expect(TABLE, pending.operation.key(), pending.expectedVersion)
                    .put(TABLE, pending.operation.key(), Codec.json().write(pending.operation.wanted()));
        }
        transactionCounter.inc();
        return transactionExecutor
                .execute(builder.build())
                .observeOn(timers.scheduler())
                .flatMapCompletable(result -> handleResult(result, unresolved, attempt));
    }

    private Completable handleResult(TransactionResult result, List<PendingOperation> unresolved, int attempt) {
        if (result.committed()) {
            for (PendingOperation pending : unresolved) {
                completeWith(
                        pending, new ClaimResult(ClaimResult.Kind.DONE, pending.expectedVersion + 1, Optional.empty()));
            }
            return Completable.complete();
        }
        Set<String> conflictingKeys = new HashSet<>();
        for (RowCondition condition : result.failedConditions()) {
            conflictingKeys.add(condition.key());
        }
        return Observable.fromIterable(unresolved)
                .filter(pending -> conflictingKeys.contains(pending.operation.key()))
                .flatMapCompletable(this::readRow)
                .andThen(Completable.defer(() -> commit(unresolved, attempt + 1)));
    }

    private Completable readRow(PendingOperation pending) {
        return tables.read(TABLE, pending.operation.key())
                .observeOn(timers.scheduler())
                .flatMapCompletable(row -> Completable.fromAction(() -> {
                    pending.expectedVersion = row.isPresent() ? row.get().version() : 0;
                    pending.expectedClaim = row.isPresent()
                            ? Optional.of(Codec.json()
                                    .read(
                                            row.get().value(),
                                            ClaimRecord.class,
                                            row.get().key()))
                            : Optional.empty();
                }));
    }

    private void completeWith(PendingOperation pending, ClaimResult result) {
        if (!pending.result.hasValue()) {
            pendingCount--;
            pending.result.onSuccess(result);
        }
    }

    private static final class PendingOperation {
        private final ClaimOperation operation;
        private final SingleSubject<ClaimResult> result = SingleSubject.create();
        private long expectedVersion;
        private Optional<ClaimRecord> expectedClaim;

        /** Assumes the most likely state of the row, so that most operations need no read. */
        PendingOperation(ClaimOperation operation) {
            this.operation = operation;
            this.expectedVersion = operation.knownVersion();
            this.expectedClaim = expectedVersion == 0
                    ? Optional.empty()
                    : Optional.of(operation.wanted().with(ClaimState.IN_PROGRESS, Optional.empty()));
            if (operation.acquires()) {
                this.expectedVersion = 0;
                this.expectedClaim = Optional.empty();
            }
        }
    }

    private static final class ShardQueue {
        private final Deque<PendingOperation> operations = new ArrayDeque<>();
        private boolean batchInProgress;
        private Optional<Long> nextBatchAt = Optional.empty();
    }
}
