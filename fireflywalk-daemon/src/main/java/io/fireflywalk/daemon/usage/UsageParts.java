package io.fireflywalk.daemon.usage;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.daemon.peer.MemberDirectory;
import io.fireflywalk.daemon.peer.PeerClient;
import io.fireflywalk.daemon.peer.PeerServer;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.time.TimerService;
import io.fireflywalk.services.usage.HttpUsageReportService;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Vertx;
import java.time.Duration;

/**
 * The parts of usage in one instance. Confined to one event loop.
 *
 * @param recorder recording, copying and flushing of own rows
 * @param holder copies of peers' rows
 * @param reporter reports of the ranges whose lease the instance holds
 * @param retention removal of reported rows
 */
public record UsageParts(
        UsageRecorder recorder, UsageCopyHolder holder, UsageReporter reporter, UsageRetention retention) {
    /** Allows two peers to be tried within the longest hold of an answer's end. */
    private static final Duration COPY_DEADLINE = Duration.ofMillis(100);

    private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

    /** Builds the parts and adds the peer call. */
    public static UsageParts create(
            Vertx vertx,
            DaemonSettings settings,
            TableService tables,
            TimerService timers,
            Member self,
            MemberDirectory members,
            ReportAuthority authority,
            PeerServer peers,
            MetricRegistry metrics) {
        DaemonSettings.UsageSettings usage = settings.usage();
        UsageLimits limits = new UsageLimits(
                Duration.ofMillis(usage.windowMilliseconds()),
                Duration.ofMillis(usage.flushMilliseconds()),
                usage.fleetFlushesPerSecond(),
                Duration.ofMillis(usage.copyMilliseconds()),
                Duration.ofMillis(usage.holdMilliseconds()),
                usage.maximumRows(),
                usage.maximumCopiedRows());
        ReportLimits reportLimits = new ReportLimits(
                limits.window(),
                Duration.ofMillis(usage.reports().graceMilliseconds()),
                Duration.ofMillis(usage.reports().deadlineMilliseconds()),
                REPORT_PERIOD,
                usage.reports().windowsPerRange(),
                usage.reports().correctionWindows());
        UsageWriter writer = new UsageWriter(tables, timers, self.incarnation(), usage.windowMilliseconds(), metrics);
        PeerClient client = new PeerClient(vertx, COPY_DEADLINE);
        UsageCopySender sender = (peer, message) ->
                client.call(peer, UsageMessages.PATH, message, UsageMessages.CopiesAnswer.class, COPY_DEADLINE);
        UsageCopyHolder holder = new UsageCopyHolder(writer, members, timers, limits, metrics);
        peers.addCall(UsageMessages.PATH, UsageMessages.Copies.class, holder::accept);
        HttpUsageReportService reports = new HttpUsageReportService(
                vertx,
                usage.reports().host(),
                usage.reports().port(),
                Duration.ofMillis(usage.reports().callDeadlineMilliseconds()));
        return new UsageParts(
                new UsageRecorder(writer, sender, members, self, timers, limits, metrics),
                holder,
                new UsageReporter(tables, reports, authority, timers, reportLimits, metrics),
                new UsageRetention(tables, authority, timers, reportLimits));
    }

    /** Starts all parts. */
    public void start() {
        recorder.start();
        holder.start();
        reporter.start();
        retention.start();
    }

    /** Writes own rows and the copies of other owners' rows that the table service may lack. */
    public Completable flush() {
        return recorder.flush().andThen(holder.flush());
    }

    /** Stops all parts; the caller flushes once more. */
    public void stop() {
        recorder.stop();
        holder.stop();
        reporter.stop();
        retention.stop();
    }
}
