package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.membership.ZoneFanOut;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Sends messages to all other instances. In a large fleet one instance of each other availability zone forwards them
 * within its zone, so that a message crosses each boundary of zones once. Confined to one event loop.
 */
final class FleetBroadcaster {
    private static final String FORWARD_FIELD = "forward";
    /** From this number of peers on, one of each other availability zone forwards. */
    private static final int LARGE_FLEET_PEERS = 16;

    private final PeerMessenger messenger;
    private final String ownZone;
    private final FleetCoordinator coordinator;
    private final RandomGenerator random;

    FleetBroadcaster(
            PeerMessenger messenger, IngressSettings settings, FleetCoordinator coordinator, RandomGenerator random) {
        this.messenger = messenger;
        this.ownZone = settings.instance().availabilityZone();
        this.coordinator = coordinator;
        this.random = random;
    }

    /** Sets the handler of a type of messages, which are forwarded before they are handled if the sender asks for it. */
    void onMessage(String type, PeerMessenger.Handler handler) {
        messenger.onMessage(type, message -> {
            if (message instanceof ObjectNode object
                    && object.path(FORWARD_FIELD).asBoolean()) {
                forward(object);
            }
            handler.onMessage(message);
        });
    }

    /** Tells whether messages of little use should be left out. */
    boolean largeFleet() {
        return coordinator.peers().size() >= LARGE_FLEET_PEERS;
    }

    void broadcast(ObjectNode message) {
        List<Peer> peers = coordinator.peers();
        if (peers.size() < LARGE_FLEET_PEERS) {
            messenger.send(message, peers);
            return;
        }
        ZoneFanOut<Peer> fanOut = ZoneFanOut.of(peers, Peer::availabilityZone, ownZone, random);
        messenger.send(message, fanOut.direct());
        messenger.send(message.put(FORWARD_FIELD, true), fanOut.forwarders());
    }

    private void forward(ObjectNode message) {
        message.remove(FORWARD_FIELD);
        messenger.send(
                message,
                coordinator.peers().stream()
                        .filter(peer -> peer.availabilityZone().equals(ownZone))
                        .toList());
    }
}
