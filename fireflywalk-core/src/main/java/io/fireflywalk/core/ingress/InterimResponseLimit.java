package io.fireflywalk.core.ingress;

/**
 * Limits the interim responses (RFC 9110, section 15.2) to one request on a connection that carries one request at a time.
 * Those between two requests count as responses to the earlier one. Not thread-safe.
 */
public final class InterimResponseLimit {
    /** A server that sends more to one request counts as faulty; without a limit it could do so without end. */
    private static final int MAXIMUM_RESPONSES = 64;

    private static final int STATUS_CONTINUE = 100;
    private static final int STATUS_SWITCHING_PROTOCOLS = 101;
    private static final int STATUS_OK = 200;

    private int responses;

    /** Tells whether a response with this status has no body and is followed by another response to the same request. */
    public static boolean isInterim(int status) {
        return status >= STATUS_CONTINUE && status < STATUS_OK;
    }

    /** Records that the head of a request is sent. */
    public void requestSent() {
        responses = 0;
    }

    /**
     * Counts an interim response and tells whether the connection remains usable. Behind a switch of protocols, which no
     * request asks for, the connection no longer carries responses.
     */
    public boolean allows(int status) {
        responses++;
        return status != STATUS_SWITCHING_PROTOCOLS && responses <= MAXIMUM_RESPONSES;
    }
}
