package io.fireflywalk.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A service that is offered to callers: a model or a plain HTTP application.
 *
 * @param name unique name; for a model service, the model name that callers send
 * @param type type of the service
 * @param routes routes of a plain service; empty for a model service
 * @param defaultDeadlineMilliseconds deadline of requests that state none
 * @param minimumTargets minimum number of targets that placement and releases must leave
 */
public record Service(
        String name, ServiceType type, List<Route> routes, long defaultDeadlineMilliseconds, int minimumTargets)
        implements ConfigurationDocument {

    public Service {
        routes = List.copyOf(routes);
    }

    @Override
    public DocumentKind kind() {
        return DocumentKind.SERVICE;
    }

    /** Returns the route with the longest prefix that matches the path and accepts the method. */
    public Optional<Route> route(String path, String method) {
        Optional<Route> best = Optional.empty();
        for (Route route : routes) {
            boolean longer = best.isEmpty()
                    || route.pathPrefix().length() > best.get().pathPrefix().length();
            if (longer && route.matches(path) && route.methods().contains(method)) {
                best = Optional.of(route);
            }
        }
        return best;
    }
}
