package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * Notifies other instances of each prompt that this one sends to a runner, so that their estimates of the runner's
 * queue and KV cache include it. Uses UDP, because a lost notification only makes an estimate less accurate. Confined
 * to one event loop.
 */
final class PlacementBroadcaster {
    private static final Logger LOG = Logger.getLogger(PlacementBroadcaster.class);
    /** From this number of peers on, only those in the runner's or this instance's availability zone are notified. */
    private static final int ZONE_FILTER_MINIMUM_PEERS = 16;

    private static final int MAXIMUM_DATAGRAM_BYTES = 512;

    private final Vertx vertx;
    private Optional<DatagramSocket> socket = Optional.empty();
    private final IngressSettings settings;
    private final TimerService timers;
    private final TargetDirectory directory;
    private final FleetCoordinator coordinator;

    PlacementBroadcaster(
            Vertx vertx,
            IngressSettings settings,
            TimerService timers,
            TargetDirectory directory,
            FleetCoordinator coordinator) {
        this.vertx = vertx;
        this.settings = settings;
        this.timers = timers;
        this.directory = directory;
        this.coordinator = coordinator;
    }

    Future<DatagramSocket> listen(String host, int port) {
        DatagramSocket newSocket = vertx.createDatagramSocket(new DatagramSocketOptions());
        newSocket.handler(packet -> onDatagram(packet.data()));
        return newSocket.listen(port, host).onSuccess(ignored -> socket = Optional.of(newSocket));
    }

    /** Records a placement, notifies the other instances, and returns the time at which it was recorded. */
    long recordPlacement(Placement placement, PromptSummary prompt) {
        TargetState target = placement.target();
        long now = timers.monotonicNanoseconds();
        target.recordPrefillQueued(prompt, placement.prefillMilliseconds(), now);
        Buffer notification = Buffer.buffer(Codec.json()
                .mapper()
                .createObjectNode()
                .put("target", target.entry().identifier())
                .put("milliseconds", (int) placement.prefillMilliseconds())
                .put("urgency", prompt.priority())
                .put("sharedPart", prompt.sharedPart())
                .put("sharedTokens", prompt.sharedTokens())
                .put("ownPart", prompt.ownPart())
                .put("ownTokens", prompt.ownTokens())
                .toString());
        List<Peer> peers = coordinator.peers();
        for (Peer peer : peers) {
            boolean shouldNotify = peers.size() < ZONE_FILTER_MINIMUM_PEERS
                    || peer.availabilityZone().equals(target.entry().availabilityZone())
                    || peer.availabilityZone().equals(settings.instance().availabilityZone());
            if (shouldNotify && socket.isPresent()) {
                socket.get()
                        .send(notification, peer.port(), peer.host())
                        .onFailure(cause -> LOG.debugf(
                                "event=notice_not_sent peer=%s cause=\"%s\"", peer.host(), cause.getMessage()));
            }
        }
        return now;
    }

    private void onDatagram(Buffer data) {
        if (data.length() > MAXIMUM_DATAGRAM_BYTES) {
            return;
        }
        try {
            JsonNode notification =
                    Codec.json().read(data.toString(StandardCharsets.UTF_8), JsonNode.class, "placement notification");
            directory
                    .find(notification.path("target").asText())
                    .ifPresent(target -> target.recordPrefillQueued(
                            prompt(notification),
                            notification.path("milliseconds").asDouble(),
                            timers.monotonicNanoseconds()));
        } catch (FireflywalkException exception) {
            LOG.debugf("event=notice_unreadable cause=\"%s\"", exception.getMessage());
        }
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
