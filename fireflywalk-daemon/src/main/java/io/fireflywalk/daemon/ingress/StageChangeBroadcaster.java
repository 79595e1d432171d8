package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;

/**
 * Tells all instances that a runner has been ordered to change its stage. It rejects requests until the change is
 * complete and reports no load meanwhile, so that it looks like the best target. Uses UDP, because a lost notification
 * only costs rejections. Confined to one event loop.
 */
final class StageChangeBroadcaster {
    private static final String MESSAGE_TYPE = "stage-change";
    /** Bounds the time without requests if the runner's new entry stays out; a change takes about three seconds. */
    private static final Duration MAXIMUM_DURATION = Duration.ofMillis(3500);

    private final FleetBroadcaster broadcaster;
    private final TimerService timers;
    private final TargetDirectory directory;

    StageChangeBroadcaster(FleetBroadcaster broadcaster, TimerService timers, TargetDirectory directory) {
        this.broadcaster = broadcaster;
        this.timers = timers;
        this.directory = directory;
        broadcaster.onMessage(MESSAGE_TYPE, this::onNotification);
    }

    /** Returns commands that notify all instances of each order before it is sent. */
    TargetCommands announcing(TargetCommands commands) {
        return (holder, target, stage) -> {
            record(target.identifier());
            broadcaster.broadcast(PeerMessenger.message(MESSAGE_TYPE).put("target", target.identifier()));
            return commands.changeStage(holder, target, stage);
        };
    }

    private void onNotification(JsonNode notification) {
        record(notification.path("target").asText());
    }

    private void record(String target) {
        directory
                .find(target)
                .ifPresent(state -> state.recordStageChange(MAXIMUM_DURATION.toNanos(), timers.monotonicNanoseconds()));
    }
}
