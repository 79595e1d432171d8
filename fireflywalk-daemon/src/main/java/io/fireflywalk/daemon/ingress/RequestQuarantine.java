package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.daemon.ingress.PromptQuarantine.Admission;
import java.util.List;
import java.util.Optional;

/** Quarantine of prompt parts as it applies to one request. Confined to one event loop. */
final class RequestQuarantine {
    private final IngressContext context;
    private final List<String> parts;
    private boolean probe;

    RequestQuarantine(IngressContext context, RequestDescription description) {
        this.context = context;
        this.parts = description.partIdentifiers();
    }

    /** Returns the refusal if the request must not be sent to a target; asked before each attempt. */
    Optional<Admission> refusal() {
        if (probe) {
            return Optional.empty();
        }
        Admission admission = context.promptQuarantine().admit(parts);
        probe = admission.probe();
        return Optional.of(admission).filter(decided -> decided.refused().isPresent());
    }

    /** Records a failed exchange; a request that tests a part tests it at one target only. */
    void onFailure(TargetExchange exchange) {
        probe = false;
        if (exchange.lostUnanswered() && !parts.isEmpty()) {
            context.crashDetector().onConnectionLost(exchange.target().entry(), parts);
        }
    }

    /** Records the complete answer of a target. */
    void onAnswer() {
        context.promptQuarantine().recordAnswer(parts);
    }
}
