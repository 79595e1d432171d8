package io.fireflywalk.core.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Splits the bytes of a server-sent event stream into events. Holds at most one unfinished event, whose size is bounded.
 * Comments are dropped. Not safe for use by several threads.
 */
public final class EventStreamParser {
    private static final int INITIAL_LINE_BYTES = 256;
    /** A line buffer that grew beyond this is not kept for the rest of the stream. */
    private static final int MAXIMUM_KEPT_LINE_BYTES = 4096;

    private final int maximumEventBytes;
    private final Consumer<StreamEvent> events;
    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineLength;
    private int eventBytes;
    private boolean afterCarriageReturn;
    private Optional<String> id = Optional.empty();
    private String name = "";
    private Optional<StringBuilder> data = Optional.empty();

    public EventStreamParser(int maximumEventBytes, Consumer<StreamEvent> events) {
        this.maximumEventBytes = maximumEventBytes;
        this.events = events;
    }

    /** Takes the next bytes; returns false if an event exceeds its bound, after which nothing more is parsed. */
    public boolean accept(byte[] bytes) {
        for (byte value : bytes) {
            boolean lineFeedOfPair = value == '\n' && afterCarriageReturn;
            afterCarriageReturn = value == '\r';
            if (lineFeedOfPair) {
                continue;
            }
            if (value == '\n' || value == '\r') {
                endLine();
            } else if (!append(value)) {
                return false;
            }
        }
        return true;
    }

    private boolean append(byte value) {
        eventBytes++;
        if (eventBytes > maximumEventBytes) {
            return false;
        }
        if (lineLength == line.length) {
            line = Arrays.copyOf(line, 2 * line.length);
        }
        line[lineLength] = value;
        lineLength++;
        return true;
    }

    private void endLine() {
        if (lineLength == 0) {
            endEvent();
            return;
        }
        String text = new String(line, 0, lineLength, StandardCharsets.UTF_8);
        lineLength = 0;
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(text.startsWith(": ", colon) ? colon + 2 : colon + 1);
        switch (field) {
            case "id" -> id = Optional.of(value);
            case "event" -> name = value;
            case "data" ->
                data = Optional.of(data.map(lines -> lines.append('\n'))
                        .orElseGet(StringBuilder::new)
                        .append(value));
            default -> {
                // Comments have an empty field name; other fields mean nothing here.
            }
        }
    }

    private void endEvent() {
        Optional<StreamEvent> event = data.map(text -> new StreamEvent(id, name, text.toString()));
        eventBytes = 0;
        if (line.length > MAXIMUM_KEPT_LINE_BYTES) {
            line = new byte[INITIAL_LINE_BYTES];
        }
        id = Optional.empty();
        name = "";
        data = Optional.empty();
        event.ifPresent(events);
    }
}
