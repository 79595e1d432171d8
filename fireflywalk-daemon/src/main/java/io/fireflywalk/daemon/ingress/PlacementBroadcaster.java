package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.time.TimerService;
import java.util.List;

/**
 * Notifies other instances of each prompt that this one sends to a runner, so that their estimates of the runner's
 * queue and KV cache include it. Uses UDP, because a lost notification only makes an estimate less accurate. Confined
 * to one event loop.
 */
final class PlacementBroadcaster {
    private static final String MESSAGE_TYPE = "placement";
    /** From this number of peers on, only those in the runner's or this instance's availability zone are notified. */
    private static final int ZONE_FILTER_MINIMUM_PEERS = 16;

    private final PeerMessenger messenger;
    private final IngressSettings settings;
    private final TimerService timers;
    private final TargetDirectory directory;
    private final FleetCoordinator coordinator;

    PlacementBroadcaster(
            PeerMessenger messenger,
            IngressSettings settings,
            TimerService timers,
            TargetDirectory directory,
            FleetCoordinator coordinator) {
        this.messenger = messenger;
        this.settings = settings;
        this.timers = timers;
        this.directory = directory;
        this.coordinator = coordinator;
        messenger.onMessage(MESSAGE_TYPE, this::onNotification);
    }

    /** Records a placement, notifies the other instances, and returns the time at which it was recorded. */
    long recordPlacement(Placement placement, PromptSummary prompt) {
        TargetState target = placement.target();
        long now = timers.monotonicNanoseconds();
        target.recordPrefillQueued(prompt, placement.prefillMilliseconds(), now);
        ObjectNode notification = PeerMessenger.message(MESSAGE_TYPE)
                .put("target", target.entry().identifier())
                .put("milliseconds", (int) placement.prefillMilliseconds())
                .put("urgency", prompt.priority())
                .put("sharedPart", prompt.sharedPart())
                .put("sharedTokens", prompt.sharedTokens())
                .put("ownPart", prompt.ownPart())
                .put("ownTokens", prompt.ownTokens());
        messenger.send(notification, notifiedPeers(target));
        return now;
    }

    private List<Peer> notifiedPeers(TargetState target) {
        List<Peer> peers = coordinator.peers();
        if (peers.size() < ZONE_FILTER_MINIMUM_PEERS) {
            return peers;
        }
        String ownZone = settings.instance().availabilityZone();
        return peers.stream()
                .filter(peer -> peer.availabilityZone().equals(ownZone)
                        || peer.availabilityZone().equals(target.entry().availabilityZone()))
                .toList();
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
