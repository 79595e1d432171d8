package io.fireflywalk.services.http;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds status lines within the text of a head. Stateless. */
final class StatusLines {
    /** Start of every status line; texts without it are not searched with the pattern. */
    private static final String PROTOCOL = "HTTP/";

    /** A protocol version and a status code. A header such as Via names a protocol without a status code behind it. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9]\\s+[0-9]{3}(?!\\S)");

    private StatusLines() {}

    /** Returns the text from the first status line on; nothing if the text contains none. */
    static Optional<String> find(String text) {
        if (!text.contains(PROTOCOL)) {
            return Optional.empty();
        }
        Matcher matcher = STATUS_LINE.matcher(text);
        return matcher.find() ? Optional.of(text.substring(matcher.start())) : Optional.empty();
    }
}
