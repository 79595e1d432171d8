package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.routing.RequestFeatures;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;

/** Handles completion requests: parsing, admission and start of the call. Confined to one event loop. */
public final class ModelRequestHandler {
    private final GatewayContext context;

    public ModelRequestHandler(GatewayContext context) {
        this.context = context;
    }

    /** Handles an authenticated request. */
    public void handle(RequestScope scope) {
        long receivedNanoseconds = context.timers().monotonicNanoseconds();
        RequestBodyCollector collector = new RequestBodyCollector(
                context, scope.request(), context.settings().limits().bodyBytes());
        scope.response().closeHandler(ignored -> {
            collector.release();
            scope.completion().complete();
        });
        collector
                .collect()
                .onSuccess(body -> admit(scope, collector, body, receivedNanoseconds))
                .onFailure(cause ->
                        reject(scope, collector, ErrorResponder.toFireflywalkException(cause, "request body")));
    }

    private void admit(RequestScope scope, RequestBodyCollector collector, Buffer body, long receivedNanoseconds) {
        try {
            ModelRequest model =
                    ModelRequest.parse(body, context.settings().limits().maximumTokens());
            Service service = scope.snapshot()
                    .service(model.model())
                    .filter(candidate -> candidate.type() == ServiceType.MODEL)
                    .orElseThrow(
                            () -> new FireflywalkException(ErrorKind.UNKNOWN_MODEL, "unknown model", "request body"));
            Duration deadline = RequestHead.deadline(scope.request(), service.defaultDeadlineMilliseconds())
                    .minusNanos(context.timers().monotonicNanoseconds() - receivedNanoseconds);
            RequestFeatures features = RequestFeatureEstimator.estimate(model, body, deadline);
            long admissionNanoseconds = context.timers().monotonicNanoseconds();
            context.admission()
                    .admitModel(
                            scope.clientAccount(),
                            service.name(),
                            features.promptTokens(),
                            features.expectedOutputTokens(),
                            deadline.toMillis())
                    .onFailure(cause ->
                            reject(scope, collector, ErrorResponder.toFireflywalkException(cause, "admission")))
                    .onSuccess(ignored -> {
                        long waitedNanoseconds = context.timers().monotonicNanoseconds() - admissionNanoseconds;
                        startCall(scope, model, collector, features, deadline.minusNanos(waitedNanoseconds));
                    });
        } catch (FireflywalkException exception) {
            reject(scope, collector, exception);
        }
    }

    private void startCall(
            RequestScope scope,
            ModelRequest model,
            RequestBodyCollector collector,
            RequestFeatures features,
            Duration deadline) {
        if (scope.response().closed()) {
            // The caller disconnected while the request was queued; its body has been released.
            return;
        }
        if (model.stream()) {
            new StreamCall(context, scope, model, features, collector, deadline).startWithKeepAlive();
        } else {
            new ModelCall(context, scope, model, features, collector, deadline).startWithHedge();
        }
    }

    private void reject(RequestScope scope, RequestBodyCollector collector, FireflywalkException exception) {
        collector.release();
        context.metrics().countRequest(exception.kind().code());
        scope.fail(exception);
    }
}
