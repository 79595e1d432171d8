package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket. Stateless. */
final class Wire {
    private Wire() {}

    /** First line and headers of a message; names in lower case. */
    record Head(String firstLine, Map<String, String> headers) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Returns the head of the next message, or null if the connection ends before its first byte. */
    static Head readHead(InputStream input) throws IOException {
        String first = readLine(input, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(input, false); !line.isEmpty(); line = readLine(input, false)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Head(first, headers);
    }

    private static String readLine(InputStream input, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ended within a head");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Receives pieces of a body as they arrive. */
    interface Sink {
        void accept(byte[] bytes, int length) throws IOException;
    }

    /**
     * Reads a body to its end; fails if it ends early.
     *
     * @param untilClose true if a body without length ends with its connection
     */
    static void readBody(InputStream input, Head head, boolean untilClose, Sink sink) throws IOException {
        byte[] buffer = new byte[65_536];
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                int length = Integer.parseInt(readLine(input, false).split(";")[0].strip(), 16);
                if (length == 0) {
                    while (!readLine(input, false).isEmpty()) {
                        // A trailer.
                    }
                    return;
                }
                copy(input, length, buffer, sink);
                readLine(input, false);
            }
        } else if (!head.header("content-length").isEmpty()) {
            copy(input, Long.parseLong(head.header("content-length")), buffer, sink);
        } else if (untilClose) {
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                sink.accept(buffer, count);
            }
        }
    }

    private static void copy(InputStream input, long length, byte[] buffer, Sink sink) throws IOException {
        for (long left = length; left > 0; ) {
            int count = input.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (count < 0) {
                throw new EOFException("connection ended " + left + " bytes before the end of a body");
            }
            sink.accept(buffer, count);
            left -= count;
        }
    }
}
