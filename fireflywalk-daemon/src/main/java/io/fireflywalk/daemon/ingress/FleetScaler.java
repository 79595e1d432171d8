package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflywalk.core.ingress.FleetDistribution;
import io.fireflywalk.core.ingress.FleetPlanner;
import io.fireflywalk.core.ingress.FleetPlanner.ZoneCount;
import io.fireflywalk.core.ingress.FleetPlanner.ZonePlan;
import io.fireflywalk.core.ingress.FleetSize.Decision;
import io.fireflywalk.core.ingress.ServiceProfile;
import io.fireflywalk.core.ingress.StageBalance;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.daemon.ingress.ControlPlane.LeaseHolder;
import io.fireflywalk.daemon.ingress.FleetStore.RowTransaction;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * Scales services while this instance holds the lease. The size of the fleet that the operator provisioned is stored
 * before the first scaling call, because it cannot be observed afterwards. Confined to one event loop.
 */
final class FleetScaler {
    private static final Logger LOG = Logger.getLogger(FleetScaler.class);
    private static final Duration EVALUATION_INTERVAL = Duration.ofSeconds(1);
    /** Time after the start in which targets register, so that the size of the fleet can be observed. */
    private static final Duration REGISTRATION_PERIOD = Duration.ofSeconds(5);
    /** Time after which a call without visible effect is repeated; a target boots within it. */
    private static final Duration REPEAT_DELAY = Duration.ofSeconds(6);
    /** Time after which a zone without capacity is tried again. */
    private static final Duration NO_CAPACITY_RETRY_DELAY = Duration.ofSeconds(2);

    /** Time after which a stage command without visible effect is repeated; a change takes about half as long. */
    private static final Duration STAGE_REPEAT_DELAY = Duration.ofSeconds(7);

    private static final int MAXIMUM_STAGE_COMMANDS = 4096;
    private static final String SIZE_PREFIX = "size/";

    private final IngressSettings settings;
    private final FleetStore store;
    private final ControlPlane controlPlane;
    private final TargetCommands targetCommands;
    private final FleetCoordinator coordinator;
    private final ConfigurationHolder configuration;
    private final TargetDirectory directory;
    private final DemandPlanner demandPlanner;
    private final TimerService timers;
    private final long startedAt;
    private final Map<String, Integer> initialSizes = new HashMap<>();
    /** Regular targets at the latest evaluation, by service, until the size of its fleet is known. */
    private final Map<String, Integer> registeredTargets = new HashMap<>();

    private final Set<String> settledServices = new HashSet<>();
    private final Map<TargetGroup, ScalingCall> latestCalls = new HashMap<>();
    private final Map<String, StageCommand> stageCommands = new HashMap<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /** Targets whose number is set by one call. */
    private record TargetGroup(String service, String availabilityZone, boolean preemptible) {}

    /** Latest call for a target group. */
    private record ScalingCall(int count, long sentAt, boolean pending, boolean rejected) {}

    /** Latest stage command for a runner. */
    private record StageCommand(Stage stage, long sentAt) {}

    FleetScaler(
            IngressSettings settings,
            FleetStore store,
            ControlPlane controlPlane,
            TargetCommands targetCommands,
            FleetCoordinator coordinator,
            ConfigurationHolder configuration,
            TargetDirectory directory,
            DemandPlanner demandPlanner,
            TimerService timers) {
        this.settings = settings;
        this.store = store;
        this.controlPlane = controlPlane;
        this.targetCommands = targetCommands;
        this.coordinator = coordinator;
        this.configuration = configuration;
        this.directory = directory;
        this.demandPlanner = demandPlanner;
        this.timers = timers;
        this.startedAt = timers.monotonicNanoseconds();
    }

    void start() {
        subscriptions.add(timers.repeat(EVALUATION_INTERVAL, "scaling", this::evaluate));
    }

    void stop() {
        subscriptions.dispose();
    }

    /** Returns the number of planned targets of the services whose size follows their demand. */
    int plannedTargets() {
        return demandPlanner.plannedTargets();
    }

    private void evaluate() {
        if (coordinator.fencingToken().isEmpty()) {
            demandPlanner.clear();
        }
        configuration.current().ifPresent(current -> current.services().forEach(this::observeRegistrations));
        if (settings.reports().isEmpty()
                || coordinator.fencingToken().isEmpty()
                || configuration.current().isEmpty()
                || timers.monotonicNanoseconds() - startedAt < REGISTRATION_PERIOD.toNanos()) {
            return;
        }
        for (ServiceProfile service : configuration.current().get().services()) {
            if (service.scaling().isPresent()) {
                scale(service);
            }
        }
    }

    /** Records whether as many targets are registered as at the last evaluation; they register within some seconds. */
    private void observeRegistrations(ServiceProfile service) {
        if (service.scaling().isEmpty() || initialSizes.containsKey(service.name())) {
            return;
        }
        int registered = regularTargets(service.name());
        Integer before = registeredTargets.put(service.name(), registered);
        if (before != null && before == registered) {
            settledServices.add(service.name());
        } else {
            settledServices.remove(service.name());
        }
    }

    private int regularTargets(String service) {
        return (int) directory.forService(service).stream()
                .filter(target -> !target.entry().preemptible())
                .count();
    }

    private void scale(ServiceProfile service) {
        Integer baselineTargets = initialSizes.get(service.name());
        if (baselineTargets == null) {
            subscriptions.add(initialSize(service.name())
                    .subscribe(
                            found -> initialSizes.put(service.name(), found),
                            cause -> LOG.warnf(
                                    "event=fleet_size_unknown service=%s cause=\"%s\"",
                                    service.name(), cause.getMessage())));
            return;
        }
        Collection<TargetState> targets = directory.forService(service.name());
        Map<String, ZoneCount> actual = FleetPlanner.countByZone(targets);
        Optional<Long> token = coordinator.fencingToken();
        if (token.isEmpty()) {
            return;
        }
        if (demandPlanner.followsDemand(service)) {
            followDemand(service, baselineTargets, actual, targets, token.get());
        } else {
            order(
                    service,
                    actual,
                    FleetPlanner.plan(
                            service.scaling().get(),
                            baselineTargets,
                            countWithPending(service.name(), actual),
                            zonesWithoutPreemptible(service.name())));
            FleetPlanner.runnersToSwitchToPrefill(targets, timers.monotonicNanoseconds())
                    .forEach(target -> changeStage(target, Stage.PREFILL));
        }
    }

    private void followDemand(
            ServiceProfile service,
            int baselineTargets,
            Map<String, ZoneCount> actual,
            Collection<TargetState> targets,
            long token) {
        int serving = actual.values().stream()
                .mapToInt(count -> count.regular() + count.preemptible())
                .sum();
        Decision decision = demandPlanner.decide(service, baselineTargets, serving, targets, token);
        order(
                service,
                actual,
                FleetDistribution.plan(
                        service.scaling().get(),
                        decision.targets(),
                        decision.required(),
                        decision.minimumServing(),
                        countWithPending(service.name(), actual),
                        serving,
                        zonesWithoutPreemptible(service.name())));
        long now = timers.monotonicNanoseconds();
        Map<String, Stage> ordered = new HashMap<>();
        stageCommands.forEach((identifier, command) -> {
            if (now - command.sentAt() < STAGE_REPEAT_DELAY.toNanos()) {
                ordered.put(identifier, command.stage());
            }
        });
        StageBalance.changes(targets, decision.prefillFraction(), ordered, now)
                .forEach(change -> changeStage(change.target(), change.stage()));
    }

    private void order(ServiceProfile service, Map<String, ZoneCount> actual, List<ZonePlan> plans) {
        for (ZonePlan plan : plans) {
            ZoneCount current = actual.getOrDefault(plan.availabilityZone(), new ZoneCount(0, 0));
            scaleGroup(
                    new TargetGroup(service.name(), plan.availabilityZone(), false), plan.regular(), current.regular());
            scaleGroup(
                    new TargetGroup(service.name(), plan.availabilityZone(), true),
                    plan.preemptible(),
                    current.preemptible());
        }
    }

    /** Adds the regular targets that were requested and have not yet registered. */
    private Map<String, ZoneCount> countWithPending(String service, Map<String, ZoneCount> actual) {
        long now = timers.monotonicNanoseconds();
        Map<String, ZoneCount> counts = new HashMap<>(actual);
        latestCalls.forEach((group, call) -> {
            ZoneCount registered = actual.getOrDefault(group.availabilityZone(), new ZoneCount(0, 0));
            boolean pending = !group.preemptible()
                    && !call.rejected()
                    && call.count() > registered.regular()
                    && now - call.sentAt() < REPEAT_DELAY.toNanos();
            if (pending && group.service().equals(service)) {
                counts.put(group.availabilityZone(), new ZoneCount(call.count(), registered.preemptible()));
            }
        });
        return counts;
    }

    private Set<String> zonesWithoutPreemptible(String service) {
        return latestCalls.entrySet().stream()
                .filter(entry -> entry.getKey().service().equals(service)
                        && entry.getKey().preemptible()
                        && entry.getValue().rejected())
                .map(entry -> entry.getKey().availabilityZone())
                .collect(Collectors.toSet());
    }

    /**
     * Returns the stored size of the fleet. If there is none, stores the current number of regular targets, once it has
     * stayed the same between two evaluations.
     */
    private Maybe<Integer> initialSize(String service) {
        String key = SIZE_PREFIX + service;
        return store.read(Table.FLEET, key, key + '\0', 1).flatMapMaybe(page -> {
            if (!page.rows().isEmpty()) {
                Buffer value = page.rows().get(0).value().orElse(Buffer.buffer("{}"));
                JsonNode node = Codec.json().read(value.toString(StandardCharsets.UTF_8), JsonNode.class, key);
                return Maybe.just(node.path("targets").asInt());
            }
            if (!settledServices.contains(service)) {
                return Maybe.empty();
            }
            int registered = regularTargets(service);
            String value = Codec.json()
                    .mapper()
                    .createObjectNode()
                    .put("targets", registered)
                    .toString();
            return store.commit(RowTransaction.empty()
                            .withPrecondition(Table.FLEET, key, 0)
                            .withWrite(Table.FLEET, key, Buffer.buffer(value)))
                    .map(result -> registered)
                    .toMaybe();
        });
    }

    private void scaleGroup(TargetGroup group, int desired, int actual) {
        long now = timers.monotonicNanoseconds();
        Optional<ScalingCall> latest = Optional.ofNullable(latestCalls.get(group));
        if (latest.isPresent()) {
            ScalingCall call = latest.get();
            Duration wait = call.rejected() ? NO_CAPACITY_RETRY_DELAY : REPEAT_DELAY;
            boolean reached = call.count() == desired && desired == actual;
            boolean waiting = call.count() == desired && now - call.sentAt() < wait.toNanos();
            if (call.pending() || reached || waiting) {
                return;
            }
        } else if (desired == actual) {
            return;
        }
        Optional<Long> token = coordinator.fencingToken();
        if (token.isEmpty()) {
            return;
        }
        boolean rejectedBefore = latest.map(ScalingCall::rejected).orElse(false);
        latestCalls.put(group, new ScalingCall(desired, now, true, rejectedBefore));
        LeaseHolder holder = coordinator.holder(token.get());
        subscriptions.add(controlPlane
                .setTargetCount(holder, group.service(), group.availabilityZone(), group.preemptible(), desired)
                .subscribe(accepted -> onScalingResponse(group, desired, actual, now, accepted, token.get()), cause -> {
                    // The call may still take effect; the next one sets the desired number again.
                    LOG.warnf("event=target_order_failed order=%s cause=\"%s\"", group, cause.getMessage());
                    latestCalls.put(group, new ScalingCall(desired, now, false, true));
                }));
    }

    private void onScalingResponse(
            TargetGroup group, int desired, int actual, long sentAt, boolean accepted, long token) {
        LOG.infof(
                "event=targets_ordered service=%s zone=%s preemptible=%s count=%d present=%d token=%d accepted=%s",
                group.service(), group.availabilityZone(), group.preemptible(), desired, actual, token, accepted);
        latestCalls.put(group, new ScalingCall(desired, sentAt, false, !accepted));
    }

    // Stages

    /** Moves a runner to a stage. The command is idempotent, so a late or repeated one is harmless. */
    private void changeStage(TargetState target, Stage stage) {
        long now = timers.monotonicNanoseconds();
        String identifier = target.entry().identifier();
        StageCommand latest = stageCommands.get(identifier);
        Optional<Long> token = coordinator.fencingToken();
        if (token.isEmpty() || (latest != null && now - latest.sentAt() < STAGE_REPEAT_DELAY.toNanos())) {
            return;
        }
        if (stageCommands.size() > MAXIMUM_STAGE_COMMANDS) {
            stageCommands.clear();
        }
        stageCommands.put(identifier, new StageCommand(stage, now));
        subscriptions.add(targetCommands
                .changeStage(coordinator.holder(token.get()), target.entry(), stage)
                .subscribe(
                        accepted -> LOG.infof(
                                "event=stage_ordered target=%s zone=%s stage=%s token=%d accepted=%s",
                                identifier, target.entry().availabilityZone(), stage, token.get(), accepted),
                        cause -> LOG.warnf(
                                "event=stage_order_failed target=%s cause=\"%s\"", identifier, cause.getMessage())));
    }
}
