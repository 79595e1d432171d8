import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Heads and bodies of HTTP/1.1 messages as they are on the wire. */
final class Http {
    private Http() {}

    /** A head: its first line and its header lines. */
    record Head(String first, List<String> lines) {
        Optional<String> header(String name) {
            String prefix = name.toLowerCase() + ":";
            return lines.stream()
                    .filter(line -> line.toLowerCase().startsWith(prefix))
                    .map(line -> line.substring(prefix.length()).strip())
                    .findFirst();
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

        int length() {
            return header("Content-Length").map(Integer::parseInt).orElse(0);
        }

        boolean chunked() {
            return header("Transfer-Encoding").filter("chunked"::equalsIgnoreCase).isPresent();
        }
    }

    /** Reads a head; empty if the connection ends before it. */
    static Optional<Head> readHead(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                return Optional.empty();
            }
            if (line.isEmpty()) {
                if (lines.isEmpty()) {
                    continue;
                }
                return Optional.of(new Head(lines.get(0), lines.subList(1, lines.size())));
            }
            lines.add(line);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    /** Reads the body of a message that has a length or comes in chunks; fails if it is not whole. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (!head.chunked()) {
            byte[] body = in.readNBytes(head.length());
            if (body.length < head.length()) {
                throw new IOException("cut body");
            }
            return body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new IOException("cut body");
            }
            int length = Integer.parseInt(size.split(";")[0].strip(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) {
                throw new IOException("cut body");
            }
            body.writeBytes(chunk);
            if (readLine(in) == null) {
                throw new IOException("cut body");
            }
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 8192);
    }
}
