package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.membership.GossipItem;
import java.util.List;

/**
 * Gossip items that the sender passes on. Requests and responses have the same form.
 *
 * @param items digests of members
 */
public record GossipMessage(List<GossipItem> items) {

    public GossipMessage {
        items = List.copyOf(items);
    }
}
