package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.RoutedService;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import java.time.Duration;

/** Receives requests to plain services and starts their calls. Confined to one event loop. */
public final class PlainRequestHandler {
    private final GatewayContext context;

    public PlainRequestHandler(GatewayContext context) {
        this.context = context;
    }

    /**
     * Handles a request whose key is valid, or whose route is open to all. A small body is collected first, so that a
     * refused request can go to another target and a slow sender occupies none; a large one is streamed.
     */
    public void handle(RequestScope scope, RoutedService routed) throws FireflywalkException {
        long receivedNanoseconds = context.timers().monotonicNanoseconds();
        long length = CallerInput.declaredLength(scope.request());
        int maximumBytes = context.settings().limits().bodyBytes();
        if (length > maximumBytes) {
            throw new FireflywalkException(
                    ErrorKind.BODY_TOO_LARGE, "the body is larger than " + maximumBytes + " bytes", "request head");
        }
        Duration deadline =
                CallerInput.deadline(scope.request(), routed.service().defaultDeadlineMilliseconds());
        String uri = KeyRemover.uriWithoutKey(scope.request().uri(), scope.presentedKey());
        int collectedBytes = context.settings().limits().repeatableBodyBytes();
        if (length < 0 || length > collectedBytes) {
            scope.request().pause();
            new PlainCall(context, scope, routed, uri, deadline).begin();
            return;
        }
        BodyCollector collector = new BodyCollector(context, scope.request(), collectedBytes);
        scope.response().closeHandler(ignored -> {
            collector.release();
            scope.ended().ended();
        });
        collector
                .collect()
                .onSuccess(body -> new PlainCall(
                                context,
                                scope,
                                routed,
                                uri,
                                deadline.minusNanos(context.timers().monotonicNanoseconds() - receivedNanoseconds))
                        .withBody(body, collector)
                        .begin())
                .onFailure(cause -> {
                    FireflywalkException known = ErrorResponder.asKnown(cause, "request body");
                    collector.release();
                    context.metrics().requestEnded(known.kind().code());
                    scope.fail(known);
                });
    }
}
