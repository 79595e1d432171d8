package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.codec.Codec;
import java.util.Collection;

/** Exchanges JSON messages with other instances. Messages may be lost, repeated or reordered. */
interface PeerMessenger {
    /** Fits into one Ethernet frame, so that no message is fragmented. */
    int MAXIMUM_BYTES = 1400;

    /** Field that selects the handler of a message. */
    String TYPE_FIELD = "type";

    /** Sets the handler of a type of messages. */
    void onMessage(String type, Handler handler);

    /** Sends a message to each peer. */
    void send(ObjectNode message, Collection<Peer> peers);

    /** Returns an empty message of a type. */
    static ObjectNode message(String type) {
        return Codec.json().mapper().createObjectNode().put(TYPE_FIELD, type);
    }

    /** Receives the messages of one type. */
    interface Handler {

        /** Handles a message; an error means that its content is invalid. */
        void onMessage(JsonNode message) throws FireflywalkException;
    }
}
