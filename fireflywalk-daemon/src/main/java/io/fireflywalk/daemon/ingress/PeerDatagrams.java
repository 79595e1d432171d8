package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.codec.Codec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * UDP socket on which instances exchange JSON messages that may be lost. A message that cannot be decoded is dropped
 * and logged. Confined to one event loop.
 */
final class PeerDatagrams implements PeerMessenger {
    private static final Logger LOG = Logger.getLogger(PeerDatagrams.class);
    /** Type of messages without a type field, as sent by earlier releases. */
    private static final String DEFAULT_TYPE = "placement";

    private final Vertx vertx;
    private final Map<String, Handler> handlers = new HashMap<>();
    private Optional<DatagramSocket> socket = Optional.empty();

    PeerDatagrams(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public void onMessage(String type, Handler handler) {
        handlers.put(type, handler);
    }

    Future<DatagramSocket> listen(String host, int port) {
        DatagramSocket opened = vertx.createDatagramSocket(new DatagramSocketOptions());
        opened.handler(packet -> receive(packet.data()));
        return opened.listen(port, host).onSuccess(ignored -> socket = Optional.of(opened));
    }

    /** Sends a message to each peer; does nothing before the socket is open. */
    @Override
    public void send(ObjectNode message, Collection<Peer> peers) {
        if (socket.isEmpty() || peers.isEmpty()) {
            return;
        }
        Buffer encoded = Buffer.buffer(message.toString());
        for (Peer peer : peers) {
            socket.get()
                    .send(encoded, peer.port(), peer.host())
                    .onFailure(cause ->
                            LOG.debugf("event=notice_not_sent peer=%s cause=\"%s\"", peer.host(), cause.getMessage()));
        }
    }

    private void receive(Buffer data) {
        if (data.length() > MAXIMUM_BYTES) {
            LOG.debugf("event=notice_unreadable cause=\"%d bytes exceed the limit\"", data.length());
            return;
        }
        try {
            JsonNode message = Codec.json().read(data.toString(StandardCharsets.UTF_8), JsonNode.class, "peer message");
            Handler handler = handlers.get(message.path(TYPE_FIELD).asText(DEFAULT_TYPE));
            if (handler != null) {
                handler.onMessage(message);
            }
        } catch (FireflywalkException exception) {
            LOG.debugf("event=notice_unreadable cause=\"%s\"", exception.getMessage());
        }
    }
}
