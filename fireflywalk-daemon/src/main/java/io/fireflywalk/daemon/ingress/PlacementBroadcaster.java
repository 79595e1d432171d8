package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.core.membership.ZoneFanOut;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.time.TimerService;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Notifies other instances of each prompt that this one sends to a runner, so that their estimates of the runner's
 * queue and KV cache include it. Uses UDP, because a lost notification only makes an estimate less accurate. Confined
 * to one event loop.
 */
final class PlacementBroadcaster {
    private static final String MESSAGE_TYPE = "placement";
    private static final String FORWARD_FIELD = "forward";
    /** From this number of peers on, one of each other availability zone forwards, and short prompts are left out. */
    private static final int LARGE_FLEET_PEERS = 16;
    /** Shorter prefills change neither a queue nor a cache so much that all instances of a large fleet need to know. */
    private static final double MINIMUM_NOTIFIED_MILLISECONDS = 50;

    private final PeerMessenger messenger;
    private final IngressSettings settings;
    private final TimerService timers;
    private final TargetDirectory directory;
    private final FleetCoordinator coordinator;
    private final RandomGenerator random;

    PlacementBroadcaster(
            PeerMessenger messenger,
            IngressSettings settings,
            TimerService timers,
            TargetDirectory directory,
            FleetCoordinator coordinator,
            RandomGenerator random) {
        this.messenger = messenger;
        this.settings = settings;
        this.timers = timers;
        this.directory = directory;
        this.coordinator = coordinator;
        this.random = random;
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
        notifyPeers(notification, placement.prefillMilliseconds());
        return now;
    }

    private void notifyPeers(ObjectNode notification, double prefillMilliseconds) {
        List<Peer> peers = coordinator.peers();
        if (peers.size() < LARGE_FLEET_PEERS) {
            messenger.send(notification, peers);
        } else if (prefillMilliseconds >= MINIMUM_NOTIFIED_MILLISECONDS) {
            ZoneFanOut<Peer> fanOut = ZoneFanOut.of(
                    peers, Peer::availabilityZone, settings.instance().availabilityZone(), random);
            messenger.send(notification, fanOut.direct());
            messenger.send(notification.put(FORWARD_FIELD, true), fanOut.forwarders());
        }
    }

    private void forward(ObjectNode notification) {
        notification.remove(FORWARD_FIELD);
        String ownZone = settings.instance().availabilityZone();
        messenger.send(
                notification,
                coordinator.peers().stream()
                        .filter(peer -> peer.availabilityZone().equals(ownZone))
                        .toList());
    }

    private void onNotification(JsonNode notification) {
        if (notification instanceof ObjectNode message
                && message.path(FORWARD_FIELD).asBoolean()) {
            forward(message);
        }
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
