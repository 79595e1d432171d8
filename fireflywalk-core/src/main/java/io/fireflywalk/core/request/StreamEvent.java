package io.fireflywalk.core.request;

import java.util.Optional;

/**
 * A server-sent event.
 *
 * @param id value of the {@code id} field
 * @param type value of the {@code event} field; empty if there is none
 * @param data values of the {@code data} fields, joined by line feeds
 */
public record StreamEvent(Optional<String> id, String type, String data) {

    /** Appends the event in the event-stream format. */
    public void appendTo(StringBuilder output) {
        id.ifPresent(value -> output.append("id: ").append(value).append('\n'));
        if (!type.isEmpty()) {
            output.append("event: ").append(type).append('\n');
        }
        int start = 0;
        for (int end = data.indexOf('\n'); end >= 0; end = data.indexOf('\n', start)) {
            output.append("data: ").append(data, start, end).append('\n');
            start = end + 1;
        }
        output.append("data: ").append(data, start, data.length()).append("\n\n");
    }
}
