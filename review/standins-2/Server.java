import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP server with a thread for each connection. */
abstract class Server {
    final ServerSocket socket;
    final String host;
    final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server(String host) throws IOException {
        this.host = host;
        this.socket = new ServerSocket();
        socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 512);
    }

    String address() {
        return host + ":" + socket.getLocalPort();
    }

    void start() {
        thread("accept " + address(), () -> {
            while (!socket.isClosed()) {
                try {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    open.add(accepted);
                    thread("connection of " + address(), () -> serve(accepted));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    static void thread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket accepted) {
        try (accepted) {
            InputStream in = Http.buffered(input(accepted));
            for (Http.Message request = Http.readRequest(in); request != null; request = Http.readRequest(in)) {
                if (!handle(request, accepted, in, accepted.getOutputStream())) {
                    return;
                }
            }
        } catch (IOException | RuntimeException ended) {
            if (ended instanceof RuntimeException) {
                ended.printStackTrace();
            }
        } finally {
            open.remove(accepted);
        }
    }

    /** Returns the stream from which requests are read. */
    InputStream input(Socket accepted) throws IOException {
        return accepted.getInputStream();
    }

    /** Answers a request; returns false if the connection is to be closed. */
    abstract boolean handle(Http.Message request, Socket connection, InputStream in, OutputStream out)
            throws IOException;

    static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
        byte[] head = Http.bytes("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length
                + "\r\n\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }

    static void json(OutputStream out, int status, String body) throws IOException {
        answer(out, status, "Content-Type: application/json\r\n", Http.bytes(body));
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(Math.max(0, milliseconds));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
