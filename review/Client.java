package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection. Not thread-safe. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream input;

    Client(String host, int port, int timeoutMilliseconds) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMilliseconds);
        socket.connect(new InetSocketAddress(host, port), timeoutMilliseconds);
        input = new BufferedInputStream(socket.getInputStream(), 8192);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    Wire.Head readHead() throws IOException {
        Wire.Head head = Wire.readHead(input);
        if (head == null) {
            throw new EOFException("connection closed without an answer");
        }
        return head;
    }

    void readBody(Wire.Head head, Wire.Sink sink) throws IOException {
        Wire.readBody(input, head, true, sink);
    }

    /** Reads a body to its end. */
    String readBody(Wire.Head head) throws IOException {
        StringBuilder body = new StringBuilder();
        readBody(head, (bytes, length) -> body.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1)));
        return body.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
