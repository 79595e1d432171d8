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

/** Holds copies of peers' usage rows and flushes those of owners that died. Confined to one event loop. */
public final class UsageCopyHolder {
    private static final Logger LOG = Logger.getLogger(UsageCopyHolder.class);
    private static final int ROWS_PER_FLUSH = 2048;
    /** A live owner flushes and says so well within the second time, unless it is paused or has changed its peers. */
    private static final UsageCopies.Silence SILENCE = new UsageCopies.Silence(
            Duration.ofSeconds(2).toNanos(), Duration.ofSeconds(60).toNanos());

    private final UsageWriter writer;
    private final MemberDirectory members;
    private final TimerService timers;
    private final UsageLimits limits;
    private final UsageCopies copies;
    private final Counter flushedForOthers;
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
        this.flushedForOthers = metrics.counter("usage_rows_flushed_for_others");
        metrics.gauge("usage_copied_rows", () -> (Gauge<Integer>) copies::size);
    }

    /** Starts to watch the owners. */
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

    /** Stops the periodic work. */
    public void stop() {
        subscriptions.clear();
    }

    /** Writes the copies that are held, once, because an instance that shuts down holds them no longer. */
    public Completable flush() {
        return Completable.defer(() -> {
            List<UsageRow> held = copies.due(
                    Set.of(), timers.monotonicNanoseconds(), new UsageCopies.Silence(-1, -1), ROWS_PER_FLUSH);
            return writer.write(held).observeOn(timers.scheduler()).doOnComplete(() -> copies.flushed(held));
        });
    }

    /** Takes a message of an owner. */
    public Single<UsageMessages.CopiesAnswer> accept(UsageMessages.Copies message) {
        return Single.fromCallable(() -> new UsageMessages.CopiesAnswer(copies.accept(
                message.owner(), message.rows(), message.flushedThrough(), timers.monotonicNanoseconds())));
    }

    private Completable flushDue() {
        return Completable.defer(() -> {
            Duration sinceFlush = Duration.ofNanos(timers.monotonicNanoseconds() - lastFlushNanoseconds);
            int fleet = members.liveMembers().size();
            if (sinceFlush.compareTo(limits.flushInterval(fleet)) < 0) {
                return Completable.complete();
            }
            lastFlushNanoseconds = timers.monotonicNanoseconds();
            Set<String> live =
                    members.liveMembers().stream().map(Member::incarnation).collect(Collectors.toSet());
            List<UsageRow> due = copies.due(live, timers.monotonicNanoseconds(), SILENCE, ROWS_PER_FLUSH);
            return writer.write(due).observeOn(timers.scheduler()).doOnComplete(() -> {
                copies.flushed(due);
                flushedForOthers.inc(due.size());
            });
        });
    }
}
