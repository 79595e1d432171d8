package io.fireflywalk.core.request;

import java.util.Optional;

/**
 * One server-sent event.
 *
 * @param id text of the id field
 * @param name text of the event field; empty for plain data
 * @param data text of the data fields, joined by line feeds
 */
public record StreamEvent(Optional<String> id, String name, String data) {

    /** Appends the event in the form in which it is sent. */
    public void appendTo(StringBuilder output) {
        id.ifPresent(value -> output.append("id: ").append(value).append('\n'));
        if (!name.isEmpty()) {
            output.append("event: ").append(name).append('\n');
        }
        int start = 0;
        for (int end = data.indexOf('\n'); end >= 0; end = data.indexOf('\n', start)) {
            output.append("data: ").append(data, start, end).append('\n');
            start = end + 1;
        }
        output.append("data: ").append(data, start, data.length()).append("\n\n");
    }
}
