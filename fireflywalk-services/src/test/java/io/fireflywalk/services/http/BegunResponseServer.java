package io.fireflywalk.services.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Server on raw sockets that writes an extra text, such as the beginning of a response, between its responses. */
public final class BegunResponseServer implements AutoCloseable {
    /** Beginnings that are cut in the reason phrase, at its end, at the CR and within a header. */
    public static final List<String> REST_OF_BEGINNINGS =
            List.of(" S", " Status", " Status\r", "\r", " Status\r\nDate: Sun, 06", " Status\r\nDate:");

    private static final int MILLISECONDS_BEFORE_IDLE_TEXT = 20;

    private final ServerSocket listener;
    private final Moment moment;
    private final String text;
    private final List<String> responses;
    private final List<Integer> places = new CopyOnWriteArrayList<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    /** When the extra text is written. */
    public enum Moment {
        /** Before each response but the first one of a connection. */
        BEFORE_NEXT,
        /** Before each response. */
        BEFORE_EACH,
        /** Together with the end of a response. */
        AT_END,
        /** Some time after a response. */
        WHILE_IDLE
    }

    /**
     * Starts a server.
     *
     * @param responses responses to the requests in their order, the last one to all later ones
     */
    public BegunResponseServer(Moment moment, String text, String... responses) throws IOException {
        this(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), moment, text, responses);
    }

    /** Starts a server on a listening socket. */
    public BegunResponseServer(ServerSocket listener, Moment moment, String text, String... responses) {
        this.listener = listener;
        this.moment = moment;
        this.text = text;
        this.responses = List.of(responses);
        start(this::accept);
    }

    /** Returns a whole response. */
    public static String response(int status, String body) {
        return "HTTP/1.1 " + status + " Status\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns the port of the server. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the place of each request on its connection, from 1, in the order of the requests. */
    public List<Integer> places() {
        return List.copyOf(places);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "begun-response-server");
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
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            int place = 0;
            while (readRequest(reader)) {
                place++;
                places.add(place);
                answer(connection.getOutputStream(), place);
            }
        } catch (IOException | InterruptedException closed) {
            // The client has closed the connection, which ends the script.
            Thread.currentThread().interrupt();
        }
    }

    private void answer(OutputStream output, int place) throws IOException, InterruptedException {
        String response = responses.get(Math.min(places.size(), responses.size()) - 1);
        boolean before = moment == Moment.BEFORE_EACH || (moment == Moment.BEFORE_NEXT && place > 1);
        write(output, (before ? text : "") + response + (moment == Moment.AT_END ? text : ""));
        if (moment == Moment.WHILE_IDLE) {
            TimeUnit.MILLISECONDS.sleep(MILLISECONDS_BEFORE_IDLE_TEXT);
            write(output, text);
        }
    }

    private static void write(OutputStream output, String written) throws IOException {
        output.write(written.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static boolean readRequest(BufferedReader reader) throws IOException {
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
        for (int index = 0; index < length; index++) {
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
