package io.fireflywalk.daemon.ingress;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events into whole events, so that a stream that breaks off can go on after the last whole
 * event. Confined to one event loop.
 */
final class EventBoundary {
    private static final String IDENTIFIER_FIELD = "id:";

    private Buffer partial = Buffer.buffer();
    private Optional<String> lastIdentifier = Optional.empty();

    /** Takes bytes and returns all events that are whole by now. */
    Buffer accept(Buffer bytes) {
        Buffer all = partial.length() == 0 ? bytes : partial.appendBuffer(bytes);
        int end = lastBoundary(all);
        if (end == 0) {
            partial = all == bytes ? bytes.copy() : all;
            return Buffer.buffer();
        }
        partial = end == all.length() ? Buffer.buffer() : all.getBuffer(end, all.length());
        Buffer whole = end == all.length() ? all : all.getBuffer(0, end);
        noteIdentifier(whole);
        return whole;
    }

    /** Forgets the part of an event that will not be completed. */
    void discardPartial() {
        partial = Buffer.buffer();
    }

    /** Tells whether the stream stands at the end of an event. */
    boolean atBoundary() {
        return partial.length() == 0;
    }

    /** Returns the identifier of the last whole event. */
    Optional<String> lastIdentifier() {
        return lastIdentifier;
    }

    private void noteIdentifier(Buffer whole) {
        String text = whole.toString(StandardCharsets.UTF_8);
        int at = text.lastIndexOf("\n" + IDENTIFIER_FIELD);
        int start;
        if (at >= 0) {
            start = at + 1 + IDENTIFIER_FIELD.length();
        } else if (text.startsWith(IDENTIFIER_FIELD)) {
            start = IDENTIFIER_FIELD.length();
        } else {
            return;
        }
        int end = text.indexOf('\n', start);
        lastIdentifier = Optional.of(text.substring(start, end).strip());
    }

    /** Returns the position after the last empty line, or 0. */
    private static int lastBoundary(Buffer all) {
        for (int index = all.length() - 1; index > 0; index--) {
            if (all.getByte(index) != '\n') {
                continue;
            }
            byte before = all.getByte(index - 1);
            if (before == '\n' || (before == '\r' && index > 2 && all.getByte(index - 2) == '\n')) {
                return index + 1;
            }
        }
        return 0;
    }
}
