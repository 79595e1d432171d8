package io.fireflywalk.daemon.ingress;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a byte stream into complete server-sent events, so that an interrupted stream can be resumed after the last
 * complete event. Confined to one event loop.
 */
final class SseEventSplitter {
    private static final String ID_FIELD = "id:";

    private Buffer partial = Buffer.buffer();
    private Optional<String> lastEventIdentifier = Optional.empty();

    /** Appends bytes and returns all events that are complete now. */
    Buffer accept(Buffer bytes) {
        // The bytes before have been searched already. Searching them again for each chunk would take a time that grows
        // with the square of the length of an event.
        int searchFrom = Math.max(1, partial.length());
        Buffer buffered = partial.length() == 0 ? bytes : partial.appendBuffer(bytes);
        int end = endOfLastEvent(buffered, searchFrom);
        if (end == 0) {
            partial = buffered == bytes ? bytes.copy() : buffered;
            return Buffer.buffer();
        }
        partial = end == buffered.length() ? Buffer.buffer() : buffered.getBuffer(end, buffered.length());
        Buffer complete = end == buffered.length() ? buffered : buffered.getBuffer(0, end);
        updateLastEventIdentifier(complete);
        return complete;
    }

    /** Discards an event of which only a part has arrived. */
    void discardPartial() {
        partial = Buffer.buffer();
    }

    /** Tells whether the bytes so far end with a complete event. */
    boolean atEventBoundary() {
        return partial.length() == 0;
    }

    /** Returns the number of bytes of the event that is not complete yet. */
    int partialLength() {
        return partial.length();
    }

    /** Returns the identifier of the last complete event that has one. */
    Optional<String> lastEventIdentifier() {
        return lastEventIdentifier;
    }

    private void updateLastEventIdentifier(Buffer complete) {
        String text = complete.toString(StandardCharsets.UTF_8);
        int at = text.lastIndexOf("\n" + ID_FIELD);
        int start;
        if (at >= 0) {
            start = at + 1 + ID_FIELD.length();
        } else if (text.startsWith(ID_FIELD)) {
            start = ID_FIELD.length();
        } else {
            return;
        }
        int end = text.indexOf('\n', start);
        lastEventIdentifier = Optional.of(text.substring(start, end).strip());
    }

    /** Returns the position after the last empty line that ends at {@code from} or later, or 0. */
    private static int endOfLastEvent(Buffer buffered, int from) {
        for (int index = buffered.length() - 1; index >= from; index--) {
            if (buffered.getByte(index) != '\n') {
                continue;
            }
            byte previous = buffered.getByte(index - 1);
            if (previous == '\n' || (previous == '\r' && index > 2 && buffered.getByte(index - 2) == '\n')) {
                return index + 1;
            }
        }
        return 0;
    }
}
