package io.fireflywalk.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/** Validates a whole snapshot and lists every problem by path. Stateless and thread-safe. */
public final class ConfigurationValidator {
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?");
    private static final Pattern SHA256_DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern IP_ADDRESS = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]+");
    private static final Set<String> HTTP_METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    private static final long MAXIMUM_DEADLINE_MILLISECONDS = 24 * 60 * 60 * 1000L;
    private static final int MAXIMUM_PORT = 65_535;

    /** Returns the problems of the snapshot; empty if it is valid. */
    public List<ConfigurationProblem> validate(ConfigurationSnapshot snapshot) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        snapshot.documents().stream()
                .filter(document -> document.kind() != DocumentKind.MEMBER)
                .forEach(document -> checkName(document, problems));
        snapshot.clientAccounts().forEach(account -> checkAccount(account, problems));
        snapshot.apiKeys().forEach(key -> checkApiKey(snapshot, key, problems));
        snapshot.services().forEach(service -> checkService(service, problems));
        snapshot.targets().forEach(target -> checkTarget(snapshot, target, problems));
        return List.copyOf(problems);
    }

    /** Returns the prefix of the paths by which problems refer to a document. */
    public static String pathOf(ConfigurationDocument document) {
        return document.kind().name().toLowerCase(Locale.ROOT) + "/" + document.name();
    }

    private static void checkName(ConfigurationDocument document, List<ConfigurationProblem> problems) {
        require(
                NAME.matcher(document.name()).matches(),
                document,
                "name",
                "must be 1 to 64 lower-case letters, digits, '.', '_' or '-'",
                problems);
    }

    private static void checkAccount(ClientAccount account, List<ConfigurationProblem> problems) {
        boolean validWeight = account.shareWeight() > 0 && Double.isFinite(account.shareWeight());
        require(validWeight, account, "shareWeight", "must be greater than 0", problems);
        require(
                account.maximumConcurrentRequests() > 0,
                account,
                "maximumConcurrentRequests",
                "must be at least 1",
                problems);
    }

    private static void checkApiKey(ConfigurationSnapshot snapshot, ApiKey key, List<ConfigurationProblem> problems) {
        require(
                snapshot.clientAccount(key.clientAccount()).isPresent(),
                key,
                "clientAccount",
                "names no client account: " + key.clientAccount(),
                problems);
        require(
                SHA256_DIGEST.matcher(key.secretDigest()).matches(),
                key,
                "secretDigest",
                "must be 64 lower-case hexadecimal digits",
                problems);
    }

    private static void checkService(Service service, List<ConfigurationProblem> problems) {
        long deadline = service.defaultDeadlineMilliseconds();
        require(
                deadline > 0 && deadline <= MAXIMUM_DEADLINE_MILLISECONDS,
                service,
                "defaultDeadlineMilliseconds",
                "must be 1 to " + MAXIMUM_DEADLINE_MILLISECONDS,
                problems);
        require(service.minimumTargets() >= 0, service, "minimumTargets", "must not be negative", problems);
        boolean isModel = service.type() == ServiceType.MODEL;
        require(
                isModel == service.routes().isEmpty(),
                service,
                "routes",
                isModel ? "must be empty for a model service" : "must not be empty for a plain service",
                problems);
        for (int index = 0; index < service.routes().size(); index++) {
            checkRoute(service, service.routes().get(index), "routes[" + index + "]", problems);
        }
    }

    private static void checkRoute(Service service, Route route, String path, List<ConfigurationProblem> problems) {
        require(route.pathPrefix().startsWith("/"), service, path + ".pathPrefix", "must start with '/'", problems);
        require(
                !new Route("/v1", Set.of(), false, false).matches(route.pathPrefix()),
                service,
                path + ".pathPrefix",
                "must not lie under /v1, which belongs to model services",
                problems);
        require(!route.methods().isEmpty(), service, path + ".methods", "must not be empty", problems);
        for (String method : route.methods()) {
            require(HTTP_METHODS.contains(method), service, path + ".methods", "unknown method " + method, problems);
        }
    }

    private static void checkTarget(
            ConfigurationSnapshot snapshot, Target target, List<ConfigurationProblem> problems) {
        var service = snapshot.service(target.service());
        require(service.isPresent(), target, "service", "names no service: " + target.service(), problems);
        require(IP_ADDRESS.matcher(target.host()).matches(), target, "host", "must be an IP address", problems);
        require(
                target.port() > 0 && target.port() <= MAXIMUM_PORT,
                target,
                "port",
                "must be 1 to " + MAXIMUM_PORT,
                problems);
        require(!target.availabilityZone().isEmpty(), target, "availabilityZone", "must not be empty", problems);
        boolean isRunner = service.isPresent() && service.get().type() == ServiceType.MODEL;
        require(
                !isRunner || !target.modelVersion().isEmpty(),
                target,
                "modelVersion",
                "must not be empty for a runner",
                problems);
    }

    private static void require(
            boolean condition,
            ConfigurationDocument document,
            String field,
            String message,
            List<ConfigurationProblem> problems) {
        if (!condition) {
            problems.add(new ConfigurationProblem(pathOf(document) + "." + field, message));
        }
    }
}
