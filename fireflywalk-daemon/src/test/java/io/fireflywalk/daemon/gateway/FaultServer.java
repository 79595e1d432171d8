package io.fireflywalk.daemon.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Target on raw sockets with a scripted behaviour. Completion and plain requests to all servers that share a log are
 * numbered in order of arrival.
 */
final class FaultServer implements AutoCloseable {
    private final ServerSocket socket;
    private final Log log;
    private final Behaviour behaviour;
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();

    /** Requests and connections received by the servers that share the log. */
    static final class Log {
        final List<Request> requests = new CopyOnWriteArrayList<>();
        final List<Request> cancellations = new CopyOnWriteArrayList<>();
        final AtomicInteger connections = new AtomicInteger();
        final AtomicInteger accepted = new AtomicInteger();
    }

    /** Responds to one request; returns false if the connection must be closed. */
    @FunctionalInterface
    interface Behaviour {
        boolean serve(int number, Request request, Connection connection) throws IOException, InterruptedException;
    }

    record Request(String line, List<String> headers, String body) {
        Optional<String> header(String name) {
            String prefix = name.toLowerCase(Locale.ROOT) + ":";
            return headers.stream()
                    .filter(header -> header.toLowerCase(Locale.ROOT).startsWith(prefix))
                    .map(header -> header.substring(prefix.length()).trim())
                    .findFirst();
        }

        String attemptId() {
            return header("x-attempt-id").orElse("none");
        }
    }

    FaultServer(Log log, Behaviour behaviour) throws IOException {
        this.log = log;
        this.behaviour = behaviour;
        this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Returns a port on which nothing listens. */
    static int closedPort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket connection : openSockets) {
            connection.close();
        }
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket accepted = socket.accept();
                openSockets.add(accepted);
                log.connections.incrementAndGet();
                start(() -> serve(new Connection(accepted)));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Connection connection) {
        try (Socket closedAtEnd = connection.socket) {
            InputStream input = new BufferedInputStream(closedAtEnd.getInputStream());
            boolean keepOpen = true;
            while (keepOpen) {
                Optional<Request> request = read(input);
                if (request.isEmpty()) {
                    return;
                }
                connection.input = input;
                if (request.get().line().startsWith("DELETE /engine")) {
                    log.cancellations.add(request.get());
                    connection.write("HTTP/1.1 204 No Content\r\n\r\n");
                } else {
                    log.requests.add(request.get());
                    keepOpen = behaviour.serve(log.accepted.incrementAndGet(), request.get(), connection);
                }
            }
        } catch (IOException exception) {
            // The peer has closed the connection or the test has ended.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static Optional<Request> read(InputStream input) throws IOException {
        String line = readLine(input);
        if (line.isEmpty()) {
            return Optional.empty();
        }
        List<String> headers = new java.util.ArrayList<>();
        int length = 0;
        boolean chunked = false;
        for (String header = readLine(input); !header.isEmpty(); header = readLine(input)) {
            headers.add(header);
            String lowerCase = header.toLowerCase(Locale.ROOT);
            if (lowerCase.startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).trim());
            }
            chunked |= lowerCase.startsWith("transfer-encoding: chunked");
        }
        String body = chunked ? readChunks(input) : text(input.readNBytes(length));
        return Optional.of(new Request(line, headers, body));
    }

    private static String readChunks(InputStream input) throws IOException {
        StringBuilder body = new StringBuilder();
        for (int size = size(input); size > 0; size = size(input)) {
            body.append(text(input.readNBytes(size)));
            readLine(input);
        }
        readLine(input);
        return body.toString();
    }

    private static int size(InputStream input) throws IOException {
        String line = readLine(input);
        if (line.isEmpty()) {
            throw new IOException("connection closed within a chunked body");
        }
        return Integer.parseInt(line, 16);
    }

    private static String readLine(InputStream input) throws IOException {
        byte[] line = new byte[65_536];
        int length = 0;
        for (int value = input.read(); value >= 0 && value != '\n'; value = input.read()) {
            line[length] = (byte) value;
            length++;
        }
        return text(Arrays.copyOf(line, length)).replace("\r", "");
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "fault-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Connection on which a behaviour responds. */
    static final class Connection {
        private final Socket socket;
        private InputStream input = InputStream.nullInputStream();

        Connection(Socket socket) {
            this.socket = socket;
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        /** Writes one chunk of a chunked body. */
        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
        }

        /** Makes the close send a TCP reset. */
        boolean reset() throws IOException {
            socket.setSoLinger(true, 0);
            return false;
        }

        /** Sends nothing more until the peer closes the connection. */
        boolean stall() throws IOException {
            while (input.read() >= 0) {
                // Discards what the peer still sends.
            }
            return false;
        }
    }
}
