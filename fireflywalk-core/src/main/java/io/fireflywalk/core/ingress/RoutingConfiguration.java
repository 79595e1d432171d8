package io.fireflywalk.core.ingress;

import io.fireflywalk.core.quota.AccountQuota;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
    private final Quotas quotas;

    /**
     * Quotas of client accounts.
     *
     * @param byAccount valid quotas by account; accounts without one are not limited
     * @param invalid accounts whose quota is invalid, so that the last valid one stays in force
     */
    public record Quotas(Map<String, AccountQuota> byAccount, Set<String> invalid) {
        /** No account has a quota. */
        public static final Quotas NONE = new Quotas(Map.of(), Set.of());

        public Quotas {
            byAccount = Map.copyOf(byAccount);
            invalid = Set.copyOf(invalid);
        }
    }

    /** Creates a version without quotas. */
    public RoutingConfiguration(
            long version,
            List<HostRoute> routes,
            List<ServiceProfile> services,
            Map<String, String> accountByKey,
            boolean requiresApiKeys,
            CallerLimits limits) {
        this(version, routes, services, accountByKey, requiresApiKeys, limits, Quotas.NONE);
    }

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
            CallerLimits limits,
            Quotas quotas) {
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
        this.quotas = quotas;
    }

    private RoutingConfiguration(RoutingConfiguration other, Quotas quotas) {
        this.version = other.version;
        this.routesByHost = other.routesByHost;
        this.services = other.services;
        this.accountByKey = other.accountByKey;
        this.requiresApiKeys = other.requiresApiKeys;
        this.limits = other.limits;
        this.quotas = quotas;
    }

    /** Returns this version with the quotas of an earlier one for accounts whose quota is invalid. */
    public RoutingConfiguration withValidQuotasOf(RoutingConfiguration earlier) {
        Map<String, AccountQuota> merged = new HashMap<>(quotas.byAccount());
        for (String account : quotas.invalid()) {
            AccountQuota valid = earlier.quotas.byAccount().get(account);
            if (valid != null) {
                merged.put(account, valid);
            }
        }
        return new RoutingConfiguration(this, new Quotas(merged, quotas.invalid()));
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

    /** Tells whether requests of the route require an API key. */
    public boolean requiresApiKey(HostRoute route) {
        return requiresApiKeys && !route.openToAll();
    }

    /** Tells whether a client account has an API key. */
    public boolean hasAccount(String account) {
        return accountByKey.containsValue(account);
    }

    /** Returns the limits of callers' requests and connections. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the quotas of client accounts. */
    public Quotas quotas() {
        return quotas;
    }

    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }
}
