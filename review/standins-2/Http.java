import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from blocking sockets. */
final class Http {
    private Http() {}

    /** A message whose body has been read, if it has been framed. */
    static final class Message {
        String first = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String header(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return "";
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the head of a message; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.first = line;
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            message.headers.add(new String[] {
                header.substring(0, colon), header.substring(colon + 1).strip()
            });
        }
        return message;
    }

    /** Reads a request with its body; null at the end of the connection. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.body = readBody(in, message, false);
        }
        return message;
    }

    /** Reads a framed body, or up to the end of the connection if {@code untilEnd}. */
    static byte[] readBody(InputStream in, Message message, boolean untilEnd) throws IOException {
        if (message.header("Transfer-Encoding").toLowerCase().contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.write(chunk);
            }
            return body.toByteArray();
        }
        if (!message.header("Content-Length").isEmpty()) {
            int length = Integer.parseInt(message.header("Content-Length"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the body was cut off");
            }
            return body;
        }
        return untilEnd ? in.readAllBytes() : new byte[0];
    }

    /** Reads a chunk; empty for the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("a chunked body was cut off");
        }
        int length = Integer.parseInt(size.strip(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length || readLine(in) == null) {
            throw new EOFException("a chunked body was cut off");
        }
        return chunk;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        return null;
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 65_536);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
