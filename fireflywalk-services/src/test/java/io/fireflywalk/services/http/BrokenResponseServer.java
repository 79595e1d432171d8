package io.fireflywalk.services.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Server on raw sockets that sends one text as the response to each request and then ends the connection. */
public final class BrokenResponseServer implements AutoCloseable {
    /** Small, so that most of a long upload waits at its sender. */
    private static final int RECEIVE_BUFFER_BYTES = 4096;
    /** Time for a response to arrive before its connection ends. */
    private static final long DELIVERY_MILLISECONDS = 60;

    private final ServerSocket listener = new ServerSocket();
    private final String response;
    private final Ending ending;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    /** How much of a request is read, and what follows the response. */
    public enum Ending {
        /** The server has read the head only and resets the connection. */
        RESET_DURING_UPLOAD,
        /** The server has read the head only and sends a FIN. */
        END_DURING_UPLOAD,
        /** The server has read the whole request and resets the connection. */
        RESET_AFTER_UPLOAD,
        /** The server has read the whole request and sends a FIN. */
        END_AFTER_UPLOAD,
        /** The server has read the whole request and keeps the connection. */
        NONE;

        boolean duringUpload() {
            return this == RESET_DURING_UPLOAD || this == END_DURING_UPLOAD;
        }
    }

    /** Starts a server. */
    public BrokenResponseServer(String response, Ending ending) throws IOException {
        this.response = response;
        this.ending = ending;
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        start(this::accept);
    }

    /** Returns the port of the server. */
    public int port() {
        return listener.getLocalPort();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "broken-response-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                connections.add(connection);
                start(() -> serve(connection));
            } catch (IOException exception) {
                if (!listener.isClosed()) {
                    throw new UncheckedIOException(exception);
                }
            }
        }
    }

    private void serve(Socket connection) {
        try {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            boolean open = true;
            while (open && readRequest(reader)) {
                connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                open = ending == Ending.NONE;
            }
            TimeUnit.MILLISECONDS.sleep(DELIVERY_MILLISECONDS);
            end(connection);
        } catch (IOException | InterruptedException closed) {
            // The client has closed the connection, which ends the script.
            Thread.currentThread().interrupt();
        }
    }

    private void end(Socket connection) throws IOException {
        switch (ending) {
            case RESET_DURING_UPLOAD, RESET_AFTER_UPLOAD -> {
                connection.setSoLinger(true, 0);
                connection.close();
            }
            // The connection stays open for reading, because closing it with unread bytes would reset it.
            case END_DURING_UPLOAD -> connection.shutdownOutput();
            default -> connection.close();
        }
    }

    private boolean readRequest(BufferedReader reader) throws IOException {
        int length = 0;
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            String lowerCase = line.toLowerCase(Locale.ROOT);
            if (lowerCase.startsWith("content-length:")) {
                length = Integer.parseInt(
                        lowerCase.substring("content-length:".length()).strip());
            }
            line = reader.readLine();
        }
        for (int index = 0; index < length && !ending.duringUpload(); index++) {
            reader.read();
        }
        return line != null;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
