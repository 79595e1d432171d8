package io.fireflywalk.daemon.usage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.usage.UsageCopies;
import io.fireflywalk.core.usage.UsageRow;
import io.fireflywalk.daemon.peer.MemberDirectory;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/** Holds copies of peers' usage rows and flushes the rows of owners that stopped. Confined to one event loop. */
public final class UsageCopyHolder {
    private static final Logger LOG = Logger.getLogger(UsageCopyHolder.class);
    private static final int MAXIMUM_ROWS_PER_FLUSH = 2048;
    /**
     * Time without a message after which rows are flushed for their owner: 2 s if it is not a live member, 60 s if it
     * is. A live owner reports its flushes well within 60 s, unless it is paused or has chosen other peers.
     */
    private static final UsageCopies.OwnerTimeouts OWNER_TIMEOUTS = new UsageCopies.OwnerTimeouts(
            Duration.ofSeconds(2).toNanos(), Duration.ofSeconds(60).toNanos());

    private final UsageWriter writer;
    private final MemberDirectory members;
    private final TimerService timers;
    private final UsageLimits limits;
    private final UsageCopies copies;
    private final Counter rowsFlushedForOthers;
    private long lastFlushNanoseconds;
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    public UsageCopyHolder(
            UsageWriter writer,
            MemberDirectory members,
            TimerService timers,
            UsageLimits limits,
            MetricRegistry metrics) {
        this.writer = writer;
        this.members = members;
        this.timers = timers;
        this.limits = limits;
        this.copies = new UsageCopies(limits.maximumCopiedRows());
        this.rowsFlushedForOthers = metrics.counter("usage_rows_flushed_for_others");
        metrics.gauge("usage_copied_rows", () -> (Gauge<Integer>) copies::size);
    }

    /** Starts flushing the rows of silent owners periodically. */
    public void start() {
        subscriptions.add(timers.every(limits.flushPeriod())
                .observeOn(timers.scheduler())
                .concatMapCompletable(tick -> flushDue().onErrorComplete(cause -> {
                    LOG.warnf(
                            "event=usage_copies_flush_failed rows=%d cause=\"%s\"", copies.size(), cause.getMessage());
                    return true;
                }))
                .subscribe());
    }

    public void stop() {
        subscriptions.clear();
    }

    /** Writes the held copies, at most one batch, because they are lost when this instance shuts down. */
    public Completable flush() {
        return Completable.defer(() -> {
            List<UsageRow> heldRows = copies.dueForFlush(
                    Set.of(),
                    timers.monotonicNanoseconds(),
                    new UsageCopies.OwnerTimeouts(-1, -1),
                    MAXIMUM_ROWS_PER_FLUSH);
            return writer.write(heldRows).observeOn(timers.scheduler()).doOnComplete(() -> copies.flushed(heldRows));
        });
    }

    /** Handles a copy message of an owner. */
    public Single<UsageMessages.CopiesResponse> accept(UsageMessages.Copies message) {
        return Single.fromCallable(() -> new UsageMessages.CopiesResponse(copies.accept(
                message.owner(), message.rows(), message.flushedThrough(), timers.monotonicNanoseconds())));
    }

    private Completable flushDue() {
        return Completable.defer(() -> {
            Duration sinceFlush = Duration.ofNanos(timers.monotonicNanoseconds() - lastFlushNanoseconds);
            int fleetSize = members.liveMembers().size();
            if (sinceFlush.compareTo(limits.flushInterval(fleetSize)) < 0) {
                return Completable.complete();
            }
            lastFlushNanoseconds = timers.monotonicNanoseconds();
            Set<String> live =
                    members.liveMembers().stream().map(Member::incarnation).collect(Collectors.toSet());
            List<UsageRow> due =
                    copies.dueForFlush(live, timers.monotonicNanoseconds(), OWNER_TIMEOUTS, MAXIMUM_ROWS_PER_FLUSH);
            return writer.write(due).observeOn(timers.scheduler()).doOnComplete(() -> {
                copies.flushed(due);
                rowsFlushedForOthers.inc(due.size());
            });
        });
    }
}
