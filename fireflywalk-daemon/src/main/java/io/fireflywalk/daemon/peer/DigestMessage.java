package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.membership.DigestItem;
import java.util.List;

/**
 * Digest items that are new to the sender; the answer has the same form.
 *
 * @param items the items
 */
public record DigestMessage(List<DigestItem> items) {

    public DigestMessage {
        items = List.copyOf(items);
    }
}
