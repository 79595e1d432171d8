package io.fireflywalk.core.ingress;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** A version of routes, services and API keys. Immutable and thread-safe. */
public final class RoutingConfiguration {
    private final long version;
    private final Map<String, List<HostRoute>> routesByHost;
    private final Map<String, ServiceProfile> services;
    private final Map<String, String> accountByKey;
    private final boolean requiresApiKeys;
    private final CallerLimits limits;

    /**
     * Creates a version.
     *
     * @param accountByKey client account by API key
     * @param requiresApiKeys true if requests require an API key unless their route is open
     */
    public RoutingConfiguration(
            long version,
            List<HostRoute> routes,
            List<ServiceProfile> services,
            Map<String, String> accountByKey,
            boolean requiresApiKeys,
            CallerLimits limits) {
        this.version = version;
        Comparator<HostRoute> longestFirst = Comparator.comparingInt(
                        (HostRoute route) -> route.pathPrefix().length())
                .reversed();
        this.routesByHost = routes.stream()
                .sorted(longestFirst)
                .collect(Collectors.groupingBy(HostRoute::host, Collectors.toUnmodifiableList()));
        this.services =
                services.stream().collect(Collectors.toUnmodifiableMap(ServiceProfile::name, Function.identity()));
        this.accountByKey = Map.copyOf(accountByKey);
        this.requiresApiKeys = requiresApiKeys;
        this.limits = limits;
    }

    /** Returns the version. Versions only increase. */
    public long version() {
        return version;
    }

    /** Returns the host's route with the longest prefix that matches the path. */
    public Optional<HostRoute> route(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the service with the name. */
    public Optional<ServiceProfile> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    public Collection<ServiceProfile> services() {
        return services.values();
    }

    /** Returns the client account of an API key. */
    public Optional<String> accountForKey(String key) {
        return Optional.ofNullable(accountByKey.get(key));
    }

    /** Tells whether requests require an API key unless their route is open. */
    public boolean requiresApiKeys() {
        return requiresApiKeys;
    }

    /** Returns the limits of callers' requests and connections. */
    public CallerLimits limits() {
        return limits;
    }

    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }
}
