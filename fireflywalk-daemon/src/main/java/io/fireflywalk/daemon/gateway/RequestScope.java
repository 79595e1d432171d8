package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.error.FireflywalkException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;

/**
 * What all steps of one request share.
 *
 * @param requestId identifier in answers and log lines
 * @param request the caller's request
 * @param snapshot configuration at arrival
 * @param clientAccount account of the key; empty text on routes open to all
 * @param presentedKey key that the request carried, which no target may see
 * @param ended watch of the end of the answer
 */
public record RequestScope(
        String requestId,
        HttpServerRequest request,
        ConfigurationSnapshot snapshot,
        String clientAccount,
        Optional<String> presentedKey,
        ResponseEnd ended) {

    /** Returns the same request with the account of its key. */
    RequestScope withAccount(String account) {
        return new RequestScope(requestId, request, snapshot, account, presentedKey, ended);
    }

    /** Returns the caller's response. */
    public HttpServerResponse response() {
        return request.response();
    }

    /** Ends the answer with its last bytes. */
    public void end(Buffer lastBytes) {
        ended.watch(response().end(lastBytes));
    }

    /** Ends the answer. */
    public void end() {
        ended.watch(response().end());
    }

    /** Ends the answer with an error. */
    public void fail(FireflywalkException exception) {
        if (!request.isEnded()) {
            // The rest of the body is read and dropped; closing at once could destroy the error on its way.
            request.resume();
        }
        if (response().headWritten() && response().writeQueueFull()) {
            // The caller takes nothing, so an error event would not leave either.
            ErrorResponder.log(requestId, exception);
            ended.abort();
            ended.ended();
            return;
        }
        ended.watch(ErrorResponder.respond(response(), requestId, exception));
    }

    /** Leaves the key out, so that the record can be part of a message. */
    @Override
    public String toString() {
        return "request " + requestId;
    }
}
