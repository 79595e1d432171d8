package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.services.time.TimerService;
import java.util.function.BiConsumer;

/**
 * Notifies other instances of each prompt that this one sends to a runner, so that their estimates of the runner's
 * queue and KV cache include it. Uses UDP, because a lost notification only makes an estimate less accurate. Confined
 * to one event loop.
 */
final class PlacementBroadcaster {
    private static final String MESSAGE_TYPE = "placement";
    /** Shorter prefills change neither a queue nor a cache so much that all instances of a large fleet need to know. */
    private static final double MINIMUM_NOTIFIED_MILLISECONDS = 50;

    private final FleetBroadcaster broadcaster;
    private final TimerService timers;
    private final TargetDirectory directory;
    private BiConsumer<Placement, PromptSummary> listener = (placement, prompt) -> {};

    PlacementBroadcaster(FleetBroadcaster broadcaster, TimerService timers, TargetDirectory directory) {
        this.broadcaster = broadcaster;
        this.timers = timers;
        this.directory = directory;
        broadcaster.onMessage(MESSAGE_TYPE, this::onNotification);
    }

    /** Sets the listener that is told of each placement of this instance. */
    void onPlacement(BiConsumer<Placement, PromptSummary> newListener) {
        listener = newListener;
    }

    /** Records a placement, notifies the other instances, and returns the time at which it was recorded. */
    long recordPlacement(Placement placement, PromptSummary prompt) {
        TargetState target = placement.target();
        long now = timers.monotonicNanoseconds();
        target.recordPrefillQueued(prompt, placement.prefillMilliseconds(), now);
        listener.accept(placement, prompt);
        ObjectNode notification = PeerMessenger.message(MESSAGE_TYPE)
                .put("target", target.entry().identifier())
                .put("milliseconds", (int) placement.prefillMilliseconds())
                .put("urgency", prompt.priority())
                .put("sharedPart", prompt.sharedPart())
                .put("sharedTokens", prompt.sharedTokens())
                .put("ownPart", prompt.ownPart())
                .put("ownTokens", prompt.ownTokens());
        if (!broadcaster.largeFleet() || placement.prefillMilliseconds() >= MINIMUM_NOTIFIED_MILLISECONDS) {
            broadcaster.broadcast(notification);
        }
        return now;
    }

    private void onNotification(JsonNode notification) {
        directory
                .find(notification.path("target").asText())
                .ifPresent(target -> target.recordPrefillQueued(
                        prompt(notification),
                        notification.path("milliseconds").asDouble(),
                        timers.monotonicNanoseconds()));
    }

    private static PromptSummary prompt(JsonNode notification) {
        return new PromptSummary(
                notification.path("urgency").asInt(),
                notification.path("sharedPart").asText(),
                notification.path("sharedTokens").asInt(),
                notification.path("ownPart").asText(),
                notification.path("ownTokens").asInt());
    }
}
