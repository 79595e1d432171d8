package io.fireflywalk.services.http;

import io.netty.handler.codec.http.HttpHeaderValidationUtil;

/** Checks the field lines of a head (RFC 9112, section 5) as they were received. Stateless. */
final class FieldLines {
    private static final int VALID = -1;

    private FieldLines() {}

    /**
     * Tells whether each line up to the empty one begins with a field name and a colon. A folded line does not, because it
     * cannot be told from a field with a blank before its name.
     *
     * @param lines lines of a head, each with its line feed; what follows the last one is not checked
     * @param withStatusLine true if the first line is a status line, which may follow empty lines
     */
    static boolean areValid(String lines, boolean withStatusLine) {
        int start = withStatusLine ? endOfStatusLine(lines) : 0;
        for (int end = lines.indexOf('\n', start); end >= 0; end = lines.indexOf('\n', start)) {
            String line = lines.substring(start, end);
            if (line.isEmpty() || line.equals("\r")) {
                return true;
            }
            if (!hasName(line)) {
                return false;
            }
            start = end + 1;
        }
        return true;
    }

    private static int endOfStatusLine(String lines) {
        int start = 0;
        while (isSkipped(lines.charAt(start))) {
            start++;
        }
        return lines.indexOf('\n', start) + 1;
    }

    /** The decoder skips control characters and spaces in front of a status line. */
    private static boolean isSkipped(char character) {
        return Character.isISOControl(character) || character == ' ';
    }

    private static boolean hasName(String line) {
        int colon = line.indexOf(':');
        return colon > 0 && HttpHeaderValidationUtil.validateToken(line.substring(0, colon)) == VALID;
    }
}
