package io.fireflywalk.services.http;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds status lines within text. Stateless. */
public final class StatusLines {
    /**
     * A protocol version and a status code, up to the end of a word, as leniently as the decoder takes them. A header such
     * as Via names a protocol without a status code behind it.
     */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/[0-9]+\\.[0-9]+[ \\t\\x0B\\f\\r]+\\+?[0-9]+(?!\\S)", Pattern.CASE_INSENSITIVE);

    /** RFC 9110, section 15: three digits, the first of which names one of five classes. */
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

    private StatusLines() {}

    /** Tells whether the words are the version and a valid code of a status line, which is found in the head it begins. */
    static boolean isStatusLine(String version, String code) {
        return STATUS_CODE.matcher(code).matches()
                && STATUS_LINE.matcher(version + " " + code).matches();
    }

    /**
     * Returns the rest of the line that begins with a status line; nothing if there is none.
     *
     * @param skipped number of status lines that are passed over
     */
    public static Optional<String> find(String text, int skipped) {
        Matcher matcher = STATUS_LINE.matcher(text);
        for (int found = 0; matcher.find(); found++) {
            if (found == skipped) {
                return text.substring(matcher.start()).lines().findFirst();
            }
        }
        return Optional.empty();
    }
}
