package io.fireflywalk.core.ingress;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Matches the responses on one connection to its requests by the identifiers that both bear. A faulty target may answer a
 * request twice, and the second response may come where the next one is due; it belongs to no request. A connection
 * carries one request at a time. Not thread-safe.
 */
public final class TargetConnectionState {
    /** A response that comes later than this many requests is no longer known as an extra one. */
    private static final int REMEMBERED_IDENTIFIERS = 64;
    /** Extra responses without one to the request in progress, after which the target counts as out of step. */
    private static final int MAXIMUM_EXTRA_RESPONSES = 16;
    /** Bytes of the bodies of such responses. */
    private static final int MAXIMUM_EXTRA_BYTES = 65_536;

    private static final int STATUS_OK = 200;

    private final long number;
    /** Hash codes of identifiers, whose length callers choose; two equal ones only cost a connection. */
    private final Set<Integer> identifiers = new LinkedHashSet<>();

    private final InterimResponseLimit interimResponses = new InterimResponseLimit();

    private Optional<String> current = Optional.empty();
    private Phase phase = Phase.IDLE;
    private boolean discarding;
    private boolean carriedBodiless;
    private int requests;
    private int extraResponses;
    private int extraBytes;

    /** What the connection waits for. */
    private enum Phase {
        /** For a request. */
        IDLE,
        /** For the head of the response to the request in progress. */
        HEAD,
        /** For the end of that response. */
        BODY
    }

    /** What to do with a part of a response. */
    public enum Decision {
        /** The part belongs to the request in progress. */
        DELIVER,
        /** The part belongs to no request; the connection remains usable. */
        DISCARD,
        /** The target has sent too much that belongs to no request. */
        CLOSE
    }

    /**
     * Creates the state of a new connection.
     *
     * @param number number of the connection in this process, from 1
     */
    public TargetConnectionState(long number) {
        this.number = number;
    }

    // Events

    /**
     * Records that the head of a request is sent.
     *
     * @param identifier identifier that the response will bear, if the request has one
     * @param bodiless true if the response has no body whatever its head says, as that to a HEAD request
     */
    public void requestSent(Optional<String> identifier, boolean bodiless) {
        current = identifier;
        carriedBodiless |= bodiless;
        phase = Phase.HEAD;
        requests++;
        interimResponses.requestSent();
        extraResponses = 0;
        extraBytes = 0;
        identifier.ifPresent(this::remember);
    }

    private void remember(String identifier) {
        identifiers.remove(identifier.hashCode());
        identifiers.add(identifier.hashCode());
        if (identifiers.size() > REMEMBERED_IDENTIFIERS) {
            identifiers.remove(identifiers.iterator().next());
        }
    }

    /**
     * Decides about a response by its head. A response without an identifier, or with one that this connection has not
     * carried, is delivered to the request in progress: it may be the response to it, and who sent the request decides
     * whether to trust it. Without a request in progress, such a response closes the connection. Interim responses are
     * discarded, also those to an earlier request.
     */
    public Decision responseHead(int status, Optional<String> identifier) {
        boolean known =
                identifier.isPresent() && identifiers.contains(identifier.get().hashCode());
        boolean copy = known && !identifier.equals(current);
        if (phase == Phase.HEAD && !copy && status >= STATUS_OK) {
            phase = Phase.BODY;
            return Decision.DELIVER;
        }
        discarding = true;
        if (InterimResponseLimit.isInterim(status)) {
            return interimResponses.allows(status) ? Decision.DISCARD : Decision.CLOSE;
        }
        extraResponses++;
        // After a HEAD request it is not known whether the codec looks for a body in the right response.
        return !known || carriedBodiless || extraResponses > MAXIMUM_EXTRA_RESPONSES
                ? Decision.CLOSE
                : Decision.DISCARD;
    }

    /** Decides about a part of the body of the response whose head came last. */
    public Decision responseBody(int bytes) {
        if (!discarding) {
            return Decision.DELIVER;
        }
        extraBytes += bytes;
        return extraBytes > MAXIMUM_EXTRA_BYTES ? Decision.CLOSE : Decision.DISCARD;
    }

    /** Records the end of the response whose head came last. */
    public void responseEnd() {
        if (discarding) {
            discarding = false;
        } else if (phase == Phase.BODY) {
            phase = Phase.IDLE;
            current = Optional.empty();
        }
    }

    // Queries

    /**
     * Tells whether a request with this identifier can be sent. If the connection has carried the identifier, a late
     * second response to the earlier request could not be told from the response to this one. Neither can one be sent
     * while a response is discarded, which may have been cut short.
     */
    public boolean accepts(String identifier) {
        return !discarding && !identifiers.contains(identifier.hashCode());
    }

    /** Tells whether a request waits for the end of its response. */
    public boolean requestInProgress() {
        return phase != Phase.IDLE;
    }

    /** Returns the identifier of the request in progress, if it has one. */
    public Optional<String> current() {
        return current;
    }

    /** Returns the number of the connection in this process. */
    public long number() {
        return number;
    }

    /** Returns the number of requests that the connection has carried. */
    public int requests() {
        return requests;
    }
}
