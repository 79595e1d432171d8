package io.fireflywalk.daemon.ingress;

import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.Map;

/**
 * Open connections to targets, numbered, with what each has carried. A response is matched to a request by its place on a
 * connection, so a response that is out of place can only be traced with these figures. Bounded by the connections that
 * are open. Confined to one event loop.
 */
final class TargetConnectionTracker {
    private final Map<HttpConnection, Carried> connections = new HashMap<>();
    private long lastNumber;

    /** What a connection has carried. */
    static final class Carried {
        private final long number;
        private int requests;
        private String lastIdentifier = "-";

        private Carried(long number) {
            this.number = number;
        }

        /** Formats the connection, the requests that it has carried, and the identifier of the last of them. */
        String format() {
            return String.format(
                    "connection=%d requests_on_connection=%d last_id=%s", number, requests, lastIdentifier);
        }
    }

    /**
     * The place of a request on its connection.
     *
     * @param connection number of the connection
     * @param ordinal number of the request on the connection, from 1
     * @param identifierRepeated true if the request before it bore the same identifier, so that the response to it cannot
     *     be told from a late response to this request
     */
    record Place(long connection, int ordinal, boolean identifierRepeated) {}

    /** Starts to follow a connection until it is closed. */
    void opened(HttpConnection connection) {
        connections.put(connection, new Carried(++lastNumber));
        connection.closeHandler(ignored -> connections.remove(connection));
    }

    /** Records that a request is sent. */
    Place requestSent(HttpConnection connection, String identifier) {
        Carried carried = connections.getOrDefault(connection, new Carried(0));
        boolean repeated = carried.lastIdentifier.equals(identifier);
        carried.requests++;
        carried.lastIdentifier = identifier;
        return new Place(carried.number, carried.requests, repeated);
    }

    /** Returns what an open connection has carried. */
    Carried carried(HttpConnection connection) {
        return connections.getOrDefault(connection, new Carried(0));
    }
}
