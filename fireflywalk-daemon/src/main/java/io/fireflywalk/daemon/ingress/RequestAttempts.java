package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.HostRoute;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Attempts of one request, and the retries that its route and the retry budget allow. Confined to one event loop. */
final class RequestAttempts {
    /** Limit of attempts that a target rejected or that were not sent. */
    private static final int MAXIMUM_REJECTIONS = 3;
    /** The same limit if the request may wait for a place before each further attempt. */
    private static final int MAXIMUM_REJECTIONS_WITH_WAITS = 6;

    private final RetryBudgets retryBudgets;
    private final HostRoute route;
    private final String service;
    private final int maximumRejections;
    private final Set<String> excludedTargets = new HashSet<>();
    /** Excluded targets that only had no place, or could not be reached. */
    private final Set<String> rejectingTargets = new HashSet<>();

    private int possiblyRun;
    private int rejections;
    private boolean retryCharged;

    RequestAttempts(RetryBudgets retryBudgets, HostRoute route, String service, boolean mayWait) {
        this.retryBudgets = retryBudgets;
        this.route = route;
        this.service = service;
        this.maximumRejections = mayWait ? MAXIMUM_REJECTIONS_WITH_WAITS : MAXIMUM_REJECTIONS;
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

    /** Tells whether a target may have run the request, with its latest exchange. */
    boolean mayHaveRun(Optional<TargetExchange> latest) {
        return possiblyRun > 0
                || latest.filter(exchange -> exchange.sent() && !exchange.ended())
                        .isPresent();
    }

    void exclude(TargetExchange exchange) {
        excludedTargets.add(exchange.target().entry().identifier());
        rejectingTargets.remove(exchange.target().entry().identifier());
    }

    /** Allows targets again that rejected the request, because they may have a place after a wait. */
    void readmitRejectingTargets() {
        excludedTargets.removeAll(rejectingTargets);
        rejectingTargets.clear();
    }

    /** Records an attempt that did not run; returns true if another one may follow. */
    boolean recordRejection(TargetExchange exchange) {
        if (excludedTargets.add(exchange.target().entry().identifier())) {
            rejectingTargets.add(exchange.target().entry().identifier());
        }
        rejections++;
        return rejections <= maximumRejections;
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
