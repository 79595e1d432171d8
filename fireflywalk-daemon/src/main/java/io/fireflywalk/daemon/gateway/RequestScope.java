package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.error.FireflywalkException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;

/**
 * Immutable state shared by all processing steps of one request.
 *
 * @param requestId identifier in responses and log lines
 * @param request the caller's request
 * @param snapshot configuration when the request arrived
 * @param clientAccount client account of the key; the empty string on routes open to all
 * @param presentedKey API key of the request, which must not be forwarded to a target
 * @param completion tracks the end of the response
 */
public record RequestScope(
        String requestId,
        HttpServerRequest request,
        ConfigurationSnapshot snapshot,
        String clientAccount,
        Optional<String> presentedKey,
        ResponseCompletion completion) {

    /** Returns a copy with the client account of the key. */
    RequestScope withAccount(String account) {
        return new RequestScope(requestId, request, snapshot, account, presentedKey, completion);
    }

    public HttpServerResponse response() {
        return request.response();
    }

    /** Ends the response with its last bytes. */
    public void end(Buffer lastBytes) {
        completion.watch(response().end(lastBytes));
    }

    public void end() {
        completion.watch(response().end());
    }

    /** Ends the response with an error. */
    public void fail(FireflywalkException exception) {
        if (!request.isEnded()) {
            // Reads and discards the rest of the body; closing with unread data could reset the connection before the
            // caller has read the error.
            request.resume();
        }
        if (response().headWritten() && response().writeQueueFull()) {
            // The caller does not read, so an error event could not be sent either.
            ErrorResponder.log(requestId, exception);
            completion.abort();
            completion.complete();
            return;
        }
        completion.watch(ErrorResponder.respond(response(), requestId, exception));
    }

    /** Omits the API key, so that the record can be logged. */
    @Override
    public String toString() {
        return "request " + requestId;
    }
}
