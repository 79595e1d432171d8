package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.DecisionExplainer;
import io.fireflywalk.core.ingress.DecisionExplanation;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.services.codec.Codec;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Answers operators where a request would go now, without sending, counting or logging it. Confined to one event loop. */
final class DecisionHandler {
    static final String PATH = "/v1/decision";
    private static final String LOCATION = "explanation";

    private final IngressContext context;
    private final DecisionOutlook outlook;

    DecisionHandler(IngressContext context, TargetConcurrencyLimits limits, BooleanSupplier rejecting) {
        this.context = context;
        this.outlook = new DecisionOutlook(context, limits, rejecting);
    }

    void handle(HttpServerRequest request) {
        try {
            if (!HttpMethod.GET.equals(request.method())) {
                throw new FireflywalkException(
                        ErrorKind.METHOD_NOT_ALLOWED, "an explanation is read with GET", LOCATION);
            }
            respond(request, 200, explain(DecisionQuery.parse(parameters(request))));
        } catch (FireflywalkException exception) {
            respond(
                    request,
                    exception.kind().httpStatus(),
                    new OperatorMessages.ErrorResponse(exception.kind().code(), exception.detail(), List.of()));
        }
    }

    private static MultiMap parameters(HttpServerRequest request) throws FireflywalkException {
        try {
            return request.params();
        } catch (IllegalArgumentException exception) {
            throw new FireflywalkException(
                    ErrorKind.INVALID_REQUEST, "the query has an invalid escape sequence", LOCATION, exception);
        }
    }

    private DecisionExplanation explain(DecisionQuery query) throws FireflywalkException {
        Optional<RoutingConfiguration> current = context.configuration().current();
        if (current.isEmpty()) {
            throw new FireflywalkException(ErrorKind.CONFIGURATION_STALE, "no configuration", LOCATION);
        }
        if (query.account().filter(name -> !current.get().hasAccount(name)).isPresent()) {
            throw new FireflywalkException(
                    ErrorKind.INVALID_REQUEST, "account is not the name of a client account with a key", LOCATION);
        }
        return new DecisionExplainer(current.get(), outlook)
                .explain(query.host(), query.path(), query.account(), query.description());
    }

    private static void respond(HttpServerRequest request, int status, Object message) {
        request.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(Codec.json().write(message));
    }
}
