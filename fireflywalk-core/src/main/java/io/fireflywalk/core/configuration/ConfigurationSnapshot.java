package io.fireflywalk.core.configuration;

import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.MemberSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** All configuration documents at one version. Immutable and thread-safe. */
public final class ConfigurationSnapshot {
    private static final ConfigurationSnapshot EMPTY =
            new ConfigurationSnapshot(0, 0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    private final long version;
    private final long membershipVersion;
    private final Map<String, ClientAccount> clientAccounts;
    private final Map<String, ApiKey> apiKeys;
    private final Map<String, Service> services;
    private final Map<String, Target> targets;
    private final Map<String, List<Target>> targetsByService;
    private final Map<String, MemberDocument> memberDocuments;
    private final MemberSet memberSet;

    private ConfigurationSnapshot(
            long version,
            long membershipVersion,
            Map<String, ClientAccount> clientAccounts,
            Map<String, ApiKey> apiKeys,
            Map<String, Service> services,
            Map<String, Target> targets,
            Map<String, MemberDocument> memberDocuments) {
        this.version = version;
        this.membershipVersion = membershipVersion;
        this.clientAccounts = clientAccounts;
        this.apiKeys = apiKeys;
        this.services = services;
        this.targets = targets;
        this.targetsByService = groupByService(targets.values());
        this.memberDocuments = memberDocuments;
        List<Member> members =
                memberDocuments.values().stream().map(MemberDocument::member).toList();
        this.memberSet = MemberSet.of(members);
    }

    /** Returns the snapshot of version 0 without documents. */
    public static ConfigurationSnapshot empty() {
        return EMPTY;
    }

    /** Returns the version. Versions only increase. */
    public long version() {
        return version;
    }

    /**
     * Returns the version of the latest membership change. A snapshot that was loaded from document rows instead of by
     * applying the log may return a later version.
     */
    public long membershipVersion() {
        return membershipVersion;
    }

    /** Returns the members at this version. */
    public MemberSet memberSet() {
        return memberSet;
    }

    /** Returns the client account with the name. */
    public Optional<ClientAccount> clientAccount(String name) {
        return Optional.ofNullable(clientAccounts.get(name));
    }

    /** Returns the API key with the name, even if it is revoked. */
    public Optional<ApiKey> apiKey(String name) {
        return Optional.ofNullable(apiKeys.get(name));
    }

    /** Returns the service with the name. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the target with the name. */
    public Optional<Target> target(String name) {
        return Optional.ofNullable(targets.get(name));
    }

    /** Returns the targets of a service, including those that are leaving, ordered by name. */
    public List<Target> targetsOf(String service) {
        return targetsByService.getOrDefault(service, List.of());
    }

    /** Returns all client accounts, ordered by name. */
    public Collection<ClientAccount> clientAccounts() {
        return clientAccounts.values();
    }

    /** Returns all API keys, ordered by name. */
    public Collection<ApiKey> apiKeys() {
        return apiKeys.values();
    }

    /** Returns all services, ordered by name. */
    public Collection<Service> services() {
        return services.values();
    }

    /** Returns all targets, ordered by name. */
    public Collection<Target> targets() {
        return targets.values();
    }

    /** Returns all documents, ordered by kind and name. */
    public List<ConfigurationDocument> documents() {
        List<ConfigurationDocument> documents = new ArrayList<>();
        documents.addAll(clientAccounts.values());
        documents.addAll(apiKeys.values());
        documents.addAll(services.values());
        documents.addAll(targets.values());
        documents.addAll(memberDocuments.values());
        return documents;
    }

    /** Returns the route with the longest matching prefix among all plain services, with its service. */
    public Optional<RoutedService> plainRoute(String path, String method) {
        Optional<RoutedService> best = Optional.empty();
        for (Service service : services.values()) {
            Optional<Route> route = service.route(path, method);
            if (route.isPresent()
                    && (best.isEmpty()
                            || hasLongerPrefix(route.get(), best.get().route()))) {
                best = Optional.of(new RoutedService(service, route.get()));
            }
        }
        return best;
    }

    /** Tells whether a route of a plain service matches the path, regardless of the method. */
    public boolean hasPlainRoute(String path) {
        return services.values().stream()
                .flatMap(service -> service.routes().stream())
                .anyMatch(route -> route.matches(path));
    }

    /** Returns a snapshot with the changes applied. */
    public ConfigurationSnapshot apply(long newVersion, List<DocumentChange> changes) {
        Map<String, ClientAccount> newAccounts = new TreeMap<>(clientAccounts);
        Map<String, ApiKey> newKeys = new TreeMap<>(apiKeys);
        Map<String, Service> newServices = new TreeMap<>(services);
        Map<String, Target> newTargets = new TreeMap<>(targets);
        Map<String, MemberDocument> newMembers = new TreeMap<>(memberDocuments);
        for (DocumentChange change : changes) {
            switch (change.kind()) {
                case CLIENT_ACCOUNT -> applyTo(newAccounts, change, ClientAccount.class);
                case API_KEY -> applyTo(newKeys, change, ApiKey.class);
                case SERVICE -> applyTo(newServices, change, Service.class);
                case TARGET -> applyTo(newTargets, change, Target.class);
                case MEMBER -> applyTo(newMembers, change, MemberDocument.class);
                default -> throw new IllegalArgumentException("unknown document kind " + change.kind());
            }
        }
        return new ConfigurationSnapshot(
                newVersion,
                newMembers.equals(memberDocuments) ? membershipVersion : newVersion,
                Collections.unmodifiableMap(newAccounts),
                Collections.unmodifiableMap(newKeys),
                Collections.unmodifiableMap(newServices),
                Collections.unmodifiableMap(newTargets),
                Collections.unmodifiableMap(newMembers));
    }

    private static <T extends ConfigurationDocument> void applyTo(
            Map<String, T> documents, DocumentChange change, Class<T> type) {
        if (change.document().isPresent()) {
            documents.put(change.name(), type.cast(change.document().get()));
        } else {
            documents.remove(change.name());
        }
    }

    private static boolean hasLongerPrefix(Route candidate, Route current) {
        return candidate.pathPrefix().length() > current.pathPrefix().length();
    }

    private static Map<String, List<Target>> groupByService(Collection<Target> targets) {
        Map<String, List<Target>> grouped = new TreeMap<>();
        for (Target target : targets) {
            grouped.computeIfAbsent(target.service(), name -> new ArrayList<>()).add(target);
        }
        grouped.replaceAll((name, group) -> List.copyOf(group));
        return grouped;
    }
}
