import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a runner: registers itself in the store, and leaves what it does with a request to a handler. */
final class Runner implements AutoCloseable {
    private static final int HEARTBEAT_MS = 1200;

    /** What the runner does with one request. */
    interface Handler {
        void handle(Exchange exchange) throws IOException;
    }

    /** A request whose body has not been read. */
    record Exchange(Runner runner, Http.Head head, InputStream in, OutputStream out) {
        String attempt() {
            return head.header("X-Fireflywalk-Attempt-Id").orElse("-");
        }

        void answer(int status, String extraHeaders, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            out.write(("HTTP/1.1 " + status + " X\r\nX-Fireflywalk-Attempt-Id: " + attempt() + "\r\n" + extraHeaders
                            + "Content-Length: " + bytes.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.flush();
        }

        void succeed(String body) throws IOException {
            answer(200, "X-Fireflywalk-Response-Signature: " + runner.id + "." + attempt() + "\r\n", body);
        }

        void reject() throws IOException {
            answer(503, "X-Fireflywalk-Not-Executed: 1\r\n", "");
        }
    }

    final String id;
    final AtomicInteger connections = new AtomicInteger();
    private final String service;
    private final String zone;
    private final int slots;
    private final Store store;
    private final Handler handler;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private long sequence;
    private volatile String state = "ready";
    private volatile boolean closed;

    Runner(String id, String service, String zone, int slots, int receiveBuffer, Store store, Handler handler)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.store = store;
        this.handler = handler;
        server = new ServerSocket();
        if (receiveBuffer > 0) {
            server.setReceiveBufferSize(receiveBuffer);
        }
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 500);
        Deployment.daemon(this::accept);
        Deployment.daemon(() -> {
            while (!closed) {
                register();
                Deployment.sleep(HEARTBEAT_MS);
            }
        });
    }

    /** Reports that the runner leaves, and returns the time at which the store has accepted that, in nanoseconds. */
    long drain() {
        state = "draining";
        register();
        return System.nanoTime();
    }

    private synchronized void register() {
        store.put(
                "servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + slots
                        + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"born\":" + born + ",\"sequence\":" + (++sequence)
                        + "}");
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                Deployment.daemon(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        connections.incrementAndGet();
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                var head = Http.readHead(in);
                if (head.isEmpty()) {
                    return;
                }
                Exchange exchange = new Exchange(this, head.get(), in, out);
                if (!head.get().header("X-Fireflywalk-Expected-Instance").orElse(id).equals(id)) {
                    Http.readBody(in, head.get());
                    exchange.answer(421, "X-Fireflywalk-Not-Executed: 1\r\n", "");
                } else {
                    handler.handle(exchange);
                }
            }
        } catch (IOException ended) {
            // The sender has closed the connection.
        } finally {
            connections.decrementAndGet();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
