package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.routing.RequestFeatures;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;

/** Receives completion requests and starts their calls. Confined to one event loop. */
public final class ModelRequestHandler {
    private final GatewayContext context;

    public ModelRequestHandler(GatewayContext context) {
        this.context = context;
    }

    /** Handles a request whose key is valid. */
    public void handle(RequestScope scope) {
        long receivedNanoseconds = context.timers().monotonicNanoseconds();
        BodyCollector collector = new BodyCollector(
                context, scope.request(), context.settings().limits().bodyBytes());
        scope.response().closeHandler(ignored -> {
            collector.release();
            scope.ended().ended();
        });
        collector
                .collect()
                .onSuccess(body -> route(scope, collector, body, receivedNanoseconds))
                .onFailure(cause -> refuse(scope, collector, ErrorResponder.asKnown(cause, "request body")));
    }

    private void route(RequestScope scope, BodyCollector collector, Buffer body, long receivedNanoseconds) {
        try {
            ModelRequest model =
                    ModelRequest.parse(body, context.settings().limits().maximumTokens());
            Service service = scope.snapshot()
                    .service(model.model())
                    .filter(candidate -> candidate.type() == ServiceType.MODEL)
                    .orElseThrow(
                            () -> new FireflywalkException(ErrorKind.UNKNOWN_MODEL, "unknown model", "request body"));
            Duration deadline = CallerInput.deadline(scope.request(), service.defaultDeadlineMilliseconds())
                    .minusNanos(context.timers().monotonicNanoseconds() - receivedNanoseconds);
            RequestFeatures features = ModelFeatures.of(model, body, deadline);
            long admissionNanoseconds = context.timers().monotonicNanoseconds();
            context.admission()
                    .admitModel(
                            scope.clientAccount(),
                            service.name(),
                            features.promptTokens(),
                            features.expectedOutputTokens(),
                            deadline.toMillis())
                    .onFailure(cause -> refuse(scope, collector, ErrorResponder.asKnown(cause, "admission")))
                    .onSuccess(ignored -> {
                        long waited = context.timers().monotonicNanoseconds() - admissionNanoseconds;
                        begin(scope, model, collector, features, deadline.minusNanos(waited));
                    });
        } catch (FireflywalkException exception) {
            refuse(scope, collector, exception);
        }
    }

    private void begin(
            RequestScope scope,
            ModelRequest model,
            BodyCollector collector,
            RequestFeatures features,
            Duration deadline) {
        if (scope.response().closed()) {
            // The caller left while the request was queued; its body has been released.
            return;
        }
        if (model.stream()) {
            new StreamCall(context, scope, model, features, collector, deadline).beginWithComments();
        } else {
            new ModelCall(context, scope, model, features, collector, deadline).beginWithHedge();
        }
    }

    private void refuse(RequestScope scope, BodyCollector collector, FireflywalkException exception) {
        collector.release();
        context.metrics().requestEnded(exception.kind().code());
        scope.fail(exception);
    }
}
