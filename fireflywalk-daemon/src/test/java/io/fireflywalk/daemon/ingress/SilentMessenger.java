package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import java.util.Collection;

/** Messenger whose messages are all lost. */
final class SilentMessenger implements PeerMessenger {
    @Override
    public void onMessage(String type, Handler handler) {
        // No message arrives.
    }

    @Override
    public void send(ObjectNode message, Collection<Peer> peers) {
        // The message is lost.
    }
}
