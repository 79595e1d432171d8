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
 * Adds up usage in cumulative rows, copies changed rows to two peers in other availability zones, and flushes them to
 * the table service. The end of a response is held until both peers or the table service have its row, so that a crash
 * of this instance does not lose it. Confined to one event loop.
 */
public final class UsageRecorder {
    public static final String TABLE = "usage";

    private static final Logger LOG = Logger.getLogger(UsageRecorder.class);
    private static final int MAXIMUM_ROWS_PER_FLUSH = 2048;
    private static final int MAXIMUM_RECENT_REQUESTS = 16_384;
    private static final int MAXIMUM_BACKOFF_FACTOR = 4;
    private static final int JITTER_STEPS = 1000;
    private static final int MAXIMUM_FLUSHES = 16;
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);

    private final TimerService timers;
    private final UsageLimits limits;
    private final Member self;
    private final MemberDirectory members;
    private final UsageWriter writer;
    private final UsageCopier copier;
    private final UsageLedger ledger;
    private final Deque<HeldResponse> heldResponses = new ArrayDeque<>();
    private final Set<String> recentRequests = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAXIMUM_RECENT_REQUESTS;
        }
    });
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private final Counter unconfirmedResponses;
    private final Timer holdTimer;
    private boolean expiryScheduled;
    private boolean flushing;
    private long flushCount;
    private int consecutiveFailures;
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
        this.copier = new UsageCopier(ledger, sender, members, self, timers, limits, this::releaseConfirmed, metrics);
        this.unconfirmedResponses = metrics.counter("usage_exposed_answers");
        this.holdTimer = metrics.timer("usage_answer_hold");
        metrics.gauge("usage_rows", () -> (Gauge<Integer>) ledger::size);
        this.lastFlushNanoseconds = timers.monotonicNanoseconds();
    }

    /** Starts copying and flushing. */
    public void start() {
        subscriptions.add(
                timers.every(TICK_PERIOD).observeOn(timers.scheduler()).subscribe(tick -> tick()));
    }

    /** Stops copying and flushing. Does not flush; the caller flushes afterwards. */
    public void stop() {
        subscriptions.clear();
        copier.stop();
    }

    /**
     * Counts the response to a request; further calls for the same request are not counted. The result completes when
     * the response may end: two peers or the table service have its row, or the maximum hold has passed. The response
     * is counted even without a subscription.
     */
    public Completable record(
            String requestId, String clientAccount, String service, TargetCharge charge, UsageAmount amount) {
        long sequence = ledger.lastSequence();
        if (recentRequests.add(requestId)) {
            sequence = ledger.record(currentWindow(), clientAccount, service, charge, amount);
        }
        if (sequence <= ledger.copiedThrough()) {
            return Completable.complete();
        }
        HeldResponse heldResponse =
                new HeldResponse(sequence, timers.monotonicNanoseconds(), CompletableSubject.create());
        heldResponses.add(heldResponse);
        scheduleExpiry();
        copier.sendPending();
        return heldResponse.released();
    }

    /**
     * Returns whether a response can be recorded within the limit of rows in memory. If not, which happens only in a
     * long outage of the table service, the caller refuses requests of the account before running them.
     */
    public boolean hasCapacity(String clientAccount, String service, TargetCharge charge) {
        return ledger.hasCapacity(clientAccount, service, charge);
    }

    /** Writes the rows that the table service may lack. */
    public Completable flush() {
        return flush(MAXIMUM_FLUSHES);
    }

    private Completable flush(int flushesLeft) {
        return Completable.defer(() -> {
            UsageBatch batch = ledger.nextFlush(MAXIMUM_ROWS_PER_FLUSH);
            if (batch.rows().isEmpty() || flushesLeft == 0) {
                return Completable.complete();
            }
            return writer.write(batch.rows().stream().map(CopiedRow::row).toList())
                    .observeOn(timers.scheduler())
                    .doOnComplete(() -> {
                        ledger.flushed(batch.through());
                        releaseConfirmed();
                        copier.sendPending();
                    })
                    .andThen(flush(flushesLeft - 1));
        });
    }

    private void tick() {
        ledger.startWindow(currentWindow());
        copier.updatePeers();
        copier.sendPending();
        long elapsed = timers.monotonicNanoseconds() - lastFlushNanoseconds;
        if (flushing || elapsed < currentFlushInterval().toNanos() * (1 + jitter())) {
            return;
        }
        flushing = true;
        flushCount++;
        lastFlushNanoseconds = timers.monotonicNanoseconds();
        subscriptions.add(flush(1).doFinally(() -> flushing = false).subscribe(() -> consecutiveFailures = 0, cause -> {
            consecutiveFailures++;
            LOG.warnf("event=usage_flush_failed rows=%d cause=\"%s\"", ledger.size(), cause.getMessage());
        }));
    }

    /** Returns -0.25 to 0.25, different for each flush, so that instances started together do not flush together. */
    private double jitter() {
        long hash = RendezvousHashing.hash(self.incarnation() + flushCount);
        return Math.floorMod(hash, JITTER_STEPS) / (2.0 * JITTER_STEPS) - 0.25;
    }

    private Duration currentFlushInterval() {
        int fleetSize = members.liveMembers().size();
        Duration regularInterval = limits.flushInterval(fleetSize);
        if (consecutiveFailures > 0) {
            // The added delay differs by instance, so that the fleet does not flush all at once after an outage.
            int factor = Math.min(MAXIMUM_BACKOFF_FACTOR, 1 << Math.min(consecutiveFailures, 8));
            return regularInterval
                    .multipliedBy(factor)
                    .plusMillis(Math.floorMod(self.incarnation().hashCode(), 1000));
        }
        if (!heldResponses.isEmpty() && !copier.hasEnoughPeers()) {
            // Without two peers, only a flush can release held responses, so flush as soon as the fleet limit allows.
            Duration fleetInterval = Duration.ofMillis(1000L * fleetSize / limits.fleetFlushesPerSecond());
            return fleetInterval.compareTo(TICK_PERIOD) > 0 ? fleetInterval : TICK_PERIOD;
        }
        return regularInterval;
    }

    private void releaseConfirmed() {
        long confirmedThrough = ledger.copiedThrough();
        while (!heldResponses.isEmpty() && heldResponses.peek().sequence() <= confirmedThrough) {
            release(heldResponses.poll());
        }
    }

    private void scheduleExpiry() {
        if (expiryScheduled || heldResponses.isEmpty()) {
            return;
        }
        expiryScheduled = true;
        long age = timers.monotonicNanoseconds() - heldResponses.peek().startedAt();
        Duration wait = limits.maximumHold().minusNanos(age);
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
        while (!heldResponses.isEmpty()
                && now - heldResponses.peek().startedAt()
                        >= limits.maximumHold().toNanos()) {
            unconfirmedResponses.inc();
            release(heldResponses.poll());
        }
    }

    private void release(HeldResponse heldResponse) {
        holdTimer.update(timers.monotonicNanoseconds() - heldResponse.startedAt(), TimeUnit.NANOSECONDS);
        heldResponse.released().onComplete();
    }

    private long currentWindow() {
        return timers.wallClockMilliseconds() / limits.window().toMillis();
    }

    private record HeldResponse(long sequence, long startedAt, CompletableSubject released) {}
}
