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
 * Usage components of one instance. Confined to one event loop.
 *
 * @param recorder records, copies and flushes own rows
 * @param holder holds copies of peers' rows
 * @param reporter sends the reports of the ranges whose lease the instance holds
 * @param retention removes reported rows
 */
public record UsageComponents(
        UsageRecorder recorder, UsageCopyHolder holder, UsageReporter reporter, UsageRetention retention) {
    /** Short enough to try two peers within the maximum time that the end of a response is held. */
    private static final Duration COPY_CALL_DEADLINE = Duration.ofMillis(100);

    private static final Duration REPORT_RUN_PERIOD = Duration.ofSeconds(1);

    /** Creates the components and registers the peer call. */
    public static UsageComponents create(
            Vertx vertx,
            DaemonSettings settings,
            TableService tables,
            TimerService timers,
            Member self,
            MemberDirectory members,
            ReportLease lease,
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
                REPORT_RUN_PERIOD,
                usage.reports().windowsPerRange(),
                usage.reports().correctionWindows());
        UsageWriter writer = new UsageWriter(tables, timers, self.incarnation(), usage.windowMilliseconds(), metrics);
        PeerClient client = new PeerClient(vertx, COPY_CALL_DEADLINE);
        UsageCopySender sender = (peer, message) ->
                client.call(peer, UsageMessages.PATH, message, UsageMessages.CopiesResponse.class, COPY_CALL_DEADLINE);
        UsageCopyHolder holder = new UsageCopyHolder(writer, members, timers, limits, metrics);
        peers.addHandler(UsageMessages.PATH, UsageMessages.Copies.class, holder::accept);
        HttpUsageReportService reports = new HttpUsageReportService(
                vertx,
                usage.reports().host(),
                usage.reports().port(),
                Duration.ofMillis(usage.reports().callDeadlineMilliseconds()));
        return new UsageComponents(
                new UsageRecorder(writer, sender, members, self, timers, limits, metrics),
                holder,
                new UsageReporter(tables, reports, lease, timers, reportLimits, metrics),
                new UsageRetention(tables, lease, timers, reportLimits));
    }

    public void start() {
        recorder.start();
        holder.start();
        reporter.start();
        retention.start();
    }

    /** Writes own and copied rows that the table service may lack. */
    public Completable flush() {
        return recorder.flush().andThen(holder.flush());
    }

    /** Stops all components. Does not flush; the caller flushes afterwards. */
    public void stop() {
        recorder.stop();
        holder.stop();
        reporter.stop();
        retention.stop();
    }
}
