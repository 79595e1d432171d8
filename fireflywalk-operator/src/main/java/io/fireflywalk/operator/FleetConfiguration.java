package io.fireflywalk.operator;

import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.ConfigurationDocument;
import io.fireflywalk.core.configuration.ConfigurationProblem;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.ConfigurationValidator;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Route;
import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.configuration.ConfigurationFile;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

/**
 * Complete configuration built in code. The YAML output is deterministic and ordered by kind and name. Immutable.
 */
public final class FleetConfiguration {
    private final ConfigurationSnapshot snapshot;

    private FleetConfiguration(ConfigurationSnapshot snapshot) {
        this.snapshot = snapshot;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Returns the configuration as a YAML file for review and for {@code fireflywalk apply}. */
    public String toYaml() {
        ConfigurationFile file = ConfigurationFile.of(snapshot);
        if (snapshot.apiKeys().isEmpty()) {
            // API keys are created with the key command; an empty list would remove all of them.
            file = new ConfigurationFile(
                    file.clientAccounts(), java.util.Optional.empty(), file.services(), file.targets());
        }
        return Codec.yaml().write(file);
    }

    /** Builder of a configuration. Not thread-safe. */
    public static final class Builder {
        private static final int DEFAULT_CONCURRENT_REQUESTS = 100;

        private final List<ConfigurationDocument> documents = new ArrayList<>();

        private Builder() {}

        /** Adds a client account with the default limit of concurrent requests. */
        public Builder clientAccount(String name, double shareWeight) {
            return clientAccount(name, shareWeight, DEFAULT_CONCURRENT_REQUESTS);
        }

        /** Adds a client account with a limit of concurrent requests per instance. */
        public Builder clientAccount(String name, double shareWeight, int maximumConcurrentRequests) {
            documents.add(new ClientAccount(name, shareWeight, maximumConcurrentRequests));
            return this;
        }

        /** Adds an API key, given the digest of its secret. */
        public Builder apiKey(String name, String clientAccount, String secretDigest) {
            documents.add(new ApiKey(name, clientAccount, secretDigest, false));
            return this;
        }

        /** Adds a service whose targets are runners. */
        public Builder modelService(String name, UnaryOperator<ServiceOptions> options) {
            documents.add(options.apply(new ServiceOptions()).build(name, ServiceType.MODEL));
            return this;
        }

        /** Adds a service whose requests and responses are passed through to an HTTP application. */
        public Builder plainService(String name, UnaryOperator<ServiceOptions> options) {
            documents.add(options.apply(new ServiceOptions()).build(name, ServiceType.PLAIN));
            return this;
        }

        public Builder target(
                String name, String service, String host, int port, UnaryOperator<TargetOptions> options) {
            documents.add(options.apply(new TargetOptions()).build(name, service, host, port));
            return this;
        }

        /** Validates and returns the configuration. The error lists every problem with the path of its field. */
        public FleetConfiguration build() throws FireflywalkException {
            List<DocumentChange> changes =
                    documents.stream().map(DocumentChange::put).toList();
            ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty().apply(1, changes);
            List<ConfigurationProblem> problems = new ArrayList<>(new ConfigurationValidator().validate(snapshot));
            Set<String> paths =
                    documents.stream().map(ConfigurationValidator::pathOf).collect(Collectors.toSet());
            if (paths.size() < documents.size()) {
                problems.add(new ConfigurationProblem("documents", "two documents of one kind have the same name"));
            }
            if (!problems.isEmpty()) {
                String list =
                        problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("; "));
                throw new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, list, "configuration builder");
            }
            return new FleetConfiguration(snapshot);
        }
    }

    /** Options of a service. Not thread-safe. */
    public static final class ServiceOptions {
        private final List<Route> routes = new ArrayList<>();
        private long defaultDeadlineMilliseconds = 60_000;
        private int minimumTargets = 1;

        private ServiceOptions() {}

        /** Adds a route that requires an API key. */
        public ServiceOptions route(String pathPrefix, Set<String> methods, boolean idempotent) {
            routes.add(new Route(pathPrefix, methods, false, idempotent));
            return this;
        }

        /** Adds a route that requires no API key. */
        public ServiceOptions openRoute(String pathPrefix, Set<String> methods, boolean idempotent) {
            routes.add(new Route(pathPrefix, methods, true, idempotent));
            return this;
        }

        /** Sets the deadline of requests that carry none. */
        public ServiceOptions defaultDeadlineMilliseconds(long milliseconds) {
            this.defaultDeadlineMilliseconds = milliseconds;
            return this;
        }

        /** Sets the minimum number of targets that placement must keep. */
        public ServiceOptions minimumTargets(int targets) {
            this.minimumTargets = targets;
            return this;
        }

        private Service build(String name, ServiceType type) {
            return new Service(name, type, routes, defaultDeadlineMilliseconds, minimumTargets);
        }
    }

    /** Options of a target. Not thread-safe. */
    public static final class TargetOptions {
        private String availabilityZone = "";
        private String modelVersion = "";
        private TargetCharge charge = TargetCharge.REGULAR;
        private OrderChecking orderChecking = OrderChecking.IGNORES_FENCING_TOKEN;

        private TargetOptions() {}

        /** Sets the availability zone, which is required. */
        public TargetOptions availabilityZone(String name) {
            this.availabilityZone = name;
            return this;
        }

        /** Sets the model version that the runner serves. */
        public TargetOptions modelVersion(String version) {
            this.modelVersion = version;
            return this;
        }

        /** Marks the target as preemptible: the platform may reclaim it. */
        public TargetOptions preemptible() {
            this.charge = TargetCharge.PREEMPTIBLE;
            return this;
        }

        /** Declares that the target rejects orders with an outdated fencing token. */
        public TargetOptions checksFencingToken() {
            this.orderChecking = OrderChecking.CHECKS_FENCING_TOKEN;
            return this;
        }

        private Target build(String name, String service, String host, int port) {
            return new Target(name, service, host, port, availabilityZone, modelVersion, charge, orderChecking, false);
        }
    }
}
