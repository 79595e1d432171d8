package io.fireflywalk.services.http;

/**
 * Bounds of the connections that the listeners of a process have open, with those that are being closed.
 *
 * @param port port of the listener with a bound of its own
 * @param connections connections of that listener
 * @param otherConnections connections of all other listeners together
 */
public record AcceptBounds(int port, int connections, int otherConnections) {
    /** Any number of connections. */
    public static final AcceptBounds NONE = new AcceptBounds(0, Integer.MAX_VALUE, Integer.MAX_VALUE);
}
