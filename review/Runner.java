package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in of a server behind the system: reads each request whole and lets a script answer it. Thread-safe. */
final class Runner implements AutoCloseable {
    private final ServerSocket listener;
    private final Script script;
    private final String identifier;

    /** Answers one request. */
    interface Script {
        void answer(Exchange exchange) throws IOException, InterruptedException;
    }

    /** One request, and the connection on which it came. */
    static final class Exchange {
        private final Runner runner;
        private final Socket socket;
        private final Wire.Head head;
        private final byte[] body;

        private Exchange(Runner runner, Socket socket, Wire.Head head, byte[] body) {
            this.runner = runner;
            this.socket = socket;
            this.head = head;
            this.body = body;
        }

        String runner() {
            return runner.identifier;
        }

        String attempt() {
            return head.header("x-fireflywalk-attempt-id");
        }

        String header(String name) {
            return head.header(name);
        }

        int bodyLength() {
            return body.length;
        }

        void write(String text) throws IOException {
            OutputStream output = socket.getOutputStream();
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        /** Returns the head of an answer that names the attempt. */
        String head(int status, String... headers) {
            StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\nX-Fireflywalk-Attempt-Id: "
                    + attempt() + "\r\n");
            for (String header : headers) {
                text.append(header).append("\r\n");
            }
            return text.append("\r\n").toString();
        }

        /** Answers with success, a signature and a length. */
        void answer(String text) throws IOException {
            write(head(200, "X-Fireflywalk-Response-Signature: s." + attempt(), "Content-Length: " + text.length())
                    + text);
        }

        /** Sends a chunk of a body. */
        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void close() throws IOException {
            socket.close();
        }
    }

    Runner(String host, String identifier, Script script) throws IOException {
        this.listener = new ServerSocket(0, 512, InetAddress.getByName(host));
        this.identifier = identifier;
        this.script = script;
        thread(this::accept);
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task, "runner");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                thread(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream(), 65_536);
            while (!socket.isClosed()) {
                Wire.Head head = Wire.readHead(input);
                if (head == null) {
                    return;
                }
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                Wire.readBody(input, head, false, (bytes, length) -> body.write(bytes, 0, length));
                Exchange exchange = new Exchange(this, socket, head, body.toByteArray());
                if (!head.header("x-fireflywalk-expected-instance").equals(identifier)) {
                    exchange.write(exchange.head(421, "X-Fireflywalk-Not-Executed: 1", "Content-Length: 0"));
                } else {
                    script.answer(exchange);
                }
            }
        } catch (IOException lost) {
            // The caller has closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns what the runner says of itself in the store. */
    ObjectNode entry(String service, int slots, String stage) {
        ObjectNode entry = Store.JSON
                .createObjectNode()
                .put("service", service)
                .put("address", listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort())
                .put("zone", Entry.ZONE)
                .put("version", "v1")
                .put("slots", slots)
                .put("state", "ready")
                .put("coldRemainingMs", 0)
                .put("born", System.currentTimeMillis())
                .put("sequence", 1);
        if (!stage.isEmpty()) {
            entry.put("stage", stage);
            entry.putArray("models").addObject().put("name", "m").put("version", 1).putArray("adapters");
        }
        return entry;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
