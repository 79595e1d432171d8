package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflywalk.core.ingress.RunnerLatencyModel;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.core.ingress.TransferDelay;
import io.fireflywalk.services.time.TimerService;
import org.jboss.logging.Logger;

/**
 * Measures the transfers of KV caches that this instance waits for, and tells all instances of slow ones: an instance
 * alone sees too few to find a slow runner while it is slow. Uses UDP, because a lost notification only delays that.
 * Confined to one event loop.
 */
final class TransferDelayBroadcaster {
    private static final Logger LOG = Logger.getLogger(TransferDelayBroadcaster.class);
    private static final String MESSAGE_TYPE = "transfer-delay";
    /** Bounds what a notification can claim; callers leave earlier. */
    private static final double MAXIMUM_MILLISECONDS = 10_000;

    private final RunnerLatencyModel latencyModel = RunnerLatencyModel.defaults();
    private final FleetBroadcaster broadcaster;
    private final TimerService timers;
    private final TargetDirectory directory;
    private final IngressMetrics metrics;

    TransferDelayBroadcaster(
            FleetBroadcaster broadcaster, TimerService timers, TargetDirectory directory, IngressMetrics metrics) {
        this.broadcaster = broadcaster;
        this.timers = timers;
        this.directory = directory;
        this.metrics = metrics;
        broadcaster.onMessage(MESSAGE_TYPE, this::onNotification);
    }

    /**
     * Records a transfer that has ended.
     *
     * @param tokens tokens of the KV cache
     * @param elapsedMilliseconds time from the request to the runner that fetched it to the first bytes of the response
     */
    void record(TargetState source, TargetState destination, int tokens, double elapsedMilliseconds) {
        boolean crossZone =
                !source.entry().availabilityZone().equals(destination.entry().availabilityZone());
        double usual = latencyModel.fetchMilliseconds(tokens, crossZone) + latencyModel.firstTokenMilliseconds();
        double delay = Math.max(0, elapsedMilliseconds - usual);
        long now = timers.monotonicNanoseconds();
        boolean notable = TransferDelay.isNotable(source, destination, delay, now);
        apply(source, destination, delay, now);
        if (notable) {
            metrics.count("transfer_delays_sent");
            broadcaster.broadcast(PeerMessenger.message(MESSAGE_TYPE)
                    .put("source", source.entry().identifier())
                    .put("destination", destination.entry().identifier())
                    .put("milliseconds", (int) delay));
        }
    }

    private void onNotification(JsonNode notification) {
        double delay = notification.path("milliseconds").asDouble(-1);
        if (delay < 0) {
            metrics.count("transfer_delays_ignored");
            return;
        }
        directory
                .find(notification.path("source").asText())
                .ifPresent(source -> directory
                        .find(notification.path("destination").asText())
                        .ifPresent(destination -> apply(source, destination, delay, timers.monotonicNanoseconds())));
    }

    private void apply(TargetState source, TargetState destination, double delay, long now) {
        TransferDelay.record(source, destination, Math.min(MAXIMUM_MILLISECONDS, delay), now);
        LOG.debugf(
                "event=transfer_recorded source=%s destination=%s delay_ms=%.0f source_delay_ms=%.0f"
                        + " destination_delay_ms=%.0f",
                source.entry().identifier(),
                destination.entry().identifier(),
                delay,
                source.transferDelayMilliseconds(now),
                destination.transferDelayMilliseconds(now));
    }
}
