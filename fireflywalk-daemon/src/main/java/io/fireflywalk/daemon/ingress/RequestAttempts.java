package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.HostRoute;
import java.util.HashSet;
import java.util.Set;

/** Attempts of one request, and the retries that its route and the retry budget allow. Confined to one event loop. */
final class RequestAttempts {
    /** Limit of attempts that a target rejected or that were not sent. */
    private static final int MAXIMUM_REJECTIONS = 3;

    private final RetryBudgets retryBudgets;
    private final HostRoute route;
    private final String service;
    private final Set<String> excludedTargets = new HashSet<>();
    private int possiblyRun;
    private int rejections;
    private boolean retryCharged;

    RequestAttempts(RetryBudgets retryBudgets, HostRoute route, String service) {
        this.retryBudgets = retryBudgets;
        this.route = route;
        this.service = service;
    }

    /** Returns the targets to which the request is not sent again. */
    Set<String> excludedTargets() {
        return excludedTargets;
    }

    /** Returns the number of attempts that may have run. */
    int possiblyRun() {
        return possiblyRun;
    }

    /** Returns the number of attempts that a target rejected or that were not sent. */
    int rejections() {
        return rejections;
    }

    void exclude(TargetExchange exchange) {
        excludedTargets.add(exchange.target().entry().identifier());
    }

    /** Records an attempt that did not run; returns true if another one may follow. */
    boolean recordRejection(TargetExchange exchange) {
        exclude(exchange);
        rejections++;
        return rejections <= MAXIMUM_REJECTIONS;
    }

    /** Records an attempt that may have run. */
    void recordPossiblyRun() {
        possiblyRun++;
    }

    /** Charges the retry that follows an attempt which has not ended yet, if the route and the budget allow it. */
    boolean chargeRetryAhead() {
        retryCharged = tryChargeRetry(1);
        return retryCharged;
    }

    /** Charges the retry after an attempt that may have run, unless it was charged ahead. */
    boolean chargeRetry() {
        boolean charged = retryCharged || tryChargeRetry(0);
        retryCharged = false;
        return charged;
    }

    private boolean tryChargeRetry(int unfinished) {
        return route.retryable()
                && possiblyRun + unfinished < route.maximumAttempts()
                && retryBudgets.trySpend(service);
    }
}
