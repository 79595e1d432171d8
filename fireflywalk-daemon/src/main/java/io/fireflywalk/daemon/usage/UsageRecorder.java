package io.fireflywalk.daemon.usage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.core.usage.CopiedRow;
import io.fireflywalk.core.usage.UsageAmount;
import io.fireflywalk.core.usage.UsageBatch;
import io.fireflywalk.core.usage.UsageLedger;
import io.fireflywalk.daemon.peer.MemberDirectory;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/**
 * Adds up usage in cumulative rows, copies the changed ones to two peers in other availability zones, and flushes them
 * to the table service. The end of an answer waits until its row is held elsewhere. Confined to one event loop.
 */
public final class UsageRecorder {
    /** Table of the usage rows. */
    public static final String TABLE = "usage";

    private static final Logger LOG = Logger.getLogger(UsageRecorder.class);
    private static final int ROWS_PER_FLUSH = 2048;
    private static final int REMEMBERED_REQUESTS = 16_384;
    private static final int MAXIMUM_BACKOFF_FACTOR = 4;
    private static final int JITTER_STEPS = 1000;
    private static final int FINAL_FLUSHES = 16;
    private static final Duration TICK = Duration.ofMillis(100);

    private final TimerService timers;
    private final UsageLimits limits;
    private final Member self;
    private final MemberDirectory members;
    private final UsageWriter writer;
    private final UsageCopier copier;
    private final UsageLedger ledger;
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private final Set<String> recentRequests = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED_REQUESTS;
        }
    });
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private final Counter exposed;
    private final Timer heldTime;
    private boolean expiryScheduled;
    private boolean flushing;
    private long flushes;
    private int failedFlushes;
    private long lastFlushNanoseconds;

    public UsageRecorder(
            UsageWriter writer,
            UsageCopySender sender,
            MemberDirectory members,
            Member self,
            TimerService timers,
            UsageLimits limits,
            MetricRegistry metrics) {
        this.timers = timers;
        this.limits = limits;
        this.self = self;
        this.members = members;
        this.writer = writer;
        this.ledger = new UsageLedger(self.incarnation(), limits.maximumRows());
        this.copier = new UsageCopier(ledger, sender, members, self, timers, limits, this::releaseHeld, metrics);
        this.exposed = metrics.counter("usage_exposed_answers");
        this.heldTime = metrics.timer("usage_answer_hold");
        metrics.gauge("usage_rows", () -> (Gauge<Integer>) ledger::size);
        this.lastFlushNanoseconds = timers.monotonicNanoseconds();
    }

    /** Starts to copy and flush. */
    public void start() {
        subscriptions.add(timers.every(TICK).observeOn(timers.scheduler()).subscribe(tick -> tick()));
    }

    /** Stops the periodic work; the caller flushes once more. */
    public void stop() {
        subscriptions.clear();
        copier.stop();
    }

    /**
     * Counts the answer of a request, once however often it is called for the request. The result completes when the
     * answer may end: its row is held elsewhere, or the longest hold has passed. Counting does not wait for a
     * subscription.
     */
    public Completable record(
            String requestId, String clientAccount, String service, TargetCharge charge, UsageAmount amount) {
        long sequence = ledger.lastSequence();
        if (recentRequests.add(requestId)) {
            sequence = ledger.record(currentWindow(), clientAccount, service, charge, amount);
        }
        if (sequence <= ledger.heldThrough()) {
            return Completable.complete();
        }
        Waiter waiter = new Waiter(sequence, timers.monotonicNanoseconds(), CompletableSubject.create());
        waiters.add(waiter);
        scheduleExpiry();
        copier.changed();
        return waiter.mayEnd();
    }

    /**
     * Tells whether an answer can be recorded within the bound of rows in memory. When it cannot, which takes a long
     * outage of the table service, a request of the account is refused before it is run.
     */
    public boolean hasRoom(String clientAccount, String service, TargetCharge charge) {
        return ledger.hasRoom(clientAccount, service, charge);
    }

    /** Writes the rows that the table service may lack. */
    public Completable flush() {
        return flush(FINAL_FLUSHES);
    }

    private Completable flush(int remaining) {
        return Completable.defer(() -> {
            UsageBatch batch = ledger.nextFlush(ROWS_PER_FLUSH);
            if (batch.rows().isEmpty() || remaining == 0) {
                return Completable.complete();
            }
            return writer.write(batch.rows().stream().map(CopiedRow::row).toList())
                    .observeOn(timers.scheduler())
                    .doOnComplete(() -> {
                        ledger.flushed(batch.through());
                        releaseHeld();
                        copier.changed();
                    })
                    .andThen(flush(remaining - 1));
        });
    }

    private void tick() {
        ledger.windowStarted(currentWindow());
        copier.refresh();
        copier.changed();
        long elapsed = timers.monotonicNanoseconds() - lastFlushNanoseconds;
        if (flushing || elapsed < interval().toNanos() * (1 + jitter())) {
            return;
        }
        flushing = true;
        flushes++;
        lastFlushNanoseconds = timers.monotonicNanoseconds();
        subscriptions.add(flush(1).doFinally(() -> flushing = false).subscribe(() -> failedFlushes = 0, cause -> {
            failedFlushes++;
            LOG.warnf("event=usage_flush_failed rows=%d cause=\"%s\"", ledger.size(), cause.getMessage());
        }));
    }

    /** Returns -0.25 to 0.25, another one for each flush, so that instances that start together do not stay in step. */
    private double jitter() {
        long hash = RendezvousHashing.hash(self.incarnation() + flushes);
        return Math.floorMod(hash, JITTER_STEPS) / (2.0 * JITTER_STEPS) - 0.25;
    }

    private Duration interval() {
        int fleet = members.liveMembers().size();
        Duration regular = limits.flushInterval(fleet);
        if (failedFlushes > 0) {
            // The factor differs by instance, so that the fleet does not flush in step after an outage.
            int factor = Math.min(MAXIMUM_BACKOFF_FACTOR, 1 << Math.min(failedFlushes, 8));
            return regular.multipliedBy(factor)
                    .plusMillis(Math.floorMod(self.incarnation().hashCode(), 1000));
        }
        if (!waiters.isEmpty() && !copier.hasEnoughPeers()) {
            // Without two peers only the table service can release answers, so the flush does not wait.
            Duration share = Duration.ofMillis(1000L * fleet / limits.fleetFlushesPerSecond());
            return share.compareTo(TICK) > 0 ? share : TICK;
        }
        return regular;
    }

    private void releaseHeld() {
        long held = ledger.heldThrough();
        while (!waiters.isEmpty() && waiters.peek().sequence() <= held) {
            release(waiters.poll());
        }
    }

    private void scheduleExpiry() {
        if (expiryScheduled || waiters.isEmpty()) {
            return;
        }
        expiryScheduled = true;
        long age = timers.monotonicNanoseconds() - waiters.peek().startedAt();
        Duration wait = limits.hold().minusNanos(age);
        subscriptions.add(timers.after(wait.isNegative() ? Duration.ZERO : wait)
                .observeOn(timers.scheduler())
                .subscribe(() -> {
                    expiryScheduled = false;
                    expire();
                    scheduleExpiry();
                }));
    }

    private void expire() {
        long now = timers.monotonicNanoseconds();
        while (!waiters.isEmpty()
                && now - waiters.peek().startedAt() >= limits.hold().toNanos()) {
            exposed.inc();
            release(waiters.poll());
        }
    }

    private void release(Waiter waiter) {
        heldTime.update(timers.monotonicNanoseconds() - waiter.startedAt(), TimeUnit.NANOSECONDS);
        waiter.mayEnd().onComplete();
    }

    private long currentWindow() {
        return timers.wallClockMilliseconds() / limits.window().toMillis();
    }

    private record Waiter(long sequence, long startedAt, CompletableSubject mayEnd) {}
}
