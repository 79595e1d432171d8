package io.fireflywalk.core.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Incremental parser of a server-sent event stream. Buffers at most one incomplete event, whose size is bounded.
 * Comments are ignored. Not thread-safe.
 */
public final class EventStreamParser {
    private static final int INITIAL_LINE_BUFFER_BYTES = 256;
    /** A line buffer that grew beyond this size is replaced after the event, to free memory during long streams. */
    private static final int MAXIMUM_RETAINED_LINE_BUFFER_BYTES = 4096;

    private final int maximumEventBytes;
    private final Consumer<StreamEvent> eventConsumer;
    private byte[] lineBuffer = new byte[INITIAL_LINE_BUFFER_BYTES];
    private int lineLength;
    private int eventBytes;
    private boolean afterCarriageReturn;
    private Optional<String> id = Optional.empty();
    private String eventType = "";
    private Optional<StringBuilder> data = Optional.empty();

    public EventStreamParser(int maximumEventBytes, Consumer<StreamEvent> eventConsumer) {
        this.maximumEventBytes = maximumEventBytes;
        this.eventConsumer = eventConsumer;
    }

    /** Parses the next bytes; returns false if an event exceeds its maximum size, after which parsing must stop. */
    public boolean accept(byte[] bytes) {
        for (byte value : bytes) {
            boolean endsCarriageReturnLineFeed = value == '\n' && afterCarriageReturn;
            afterCarriageReturn = value == '\r';
            if (endsCarriageReturnLineFeed) {
                continue;
            }
            if (value == '\n' || value == '\r') {
                processLine();
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
        if (lineLength == lineBuffer.length) {
            lineBuffer = Arrays.copyOf(lineBuffer, 2 * lineBuffer.length);
        }
        lineBuffer[lineLength] = value;
        lineLength++;
        return true;
    }

    private void processLine() {
        if (lineLength == 0) {
            dispatchEvent();
            return;
        }
        String text = new String(lineBuffer, 0, lineLength, StandardCharsets.UTF_8);
        lineLength = 0;
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(text.startsWith(": ", colon) ? colon + 2 : colon + 1);
        switch (field) {
            case "id" -> id = Optional.of(value);
            case "event" -> eventType = value;
            case "data" ->
                data = Optional.of(data.map(lines -> lines.append('\n'))
                        .orElseGet(StringBuilder::new)
                        .append(value));
            default -> {
                // Comments have an empty field name; other fields are ignored.
            }
        }
    }

    private void dispatchEvent() {
        Optional<StreamEvent> event = data.map(text -> new StreamEvent(id, eventType, text.toString()));
        eventBytes = 0;
        if (lineBuffer.length > MAXIMUM_RETAINED_LINE_BUFFER_BYTES) {
            lineBuffer = new byte[INITIAL_LINE_BUFFER_BYTES];
        }
        id = Optional.empty();
        eventType = "";
        data = Optional.empty();
        event.ifPresent(eventConsumer);
    }
}
