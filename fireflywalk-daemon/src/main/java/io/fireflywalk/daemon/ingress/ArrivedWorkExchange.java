package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.ArrivedWork;
import io.fireflywalk.core.ingress.ArrivedWorkCounter;
import io.fireflywalk.core.ingress.FleetDemand;
import io.fireflywalk.core.ingress.HostRoute;
import io.fireflywalk.core.ingress.PromptPlacement;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.core.ingress.RequestKind;
import io.fireflywalk.core.ingress.ServiceProfile;
import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.time.TimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Counts the work that arrives at this instance, sends the totals to the lease holder once a second, and collects those
 * of all instances while this one holds the lease. Totals are cumulative, so that a lost message is made up for by the
 * next. Does nothing for services whose size does not follow their demand. Confined to one event loop.
 */
final class ArrivedWorkExchange {
    private static final Duration INTERVAL = Duration.ofSeconds(1);
    /** Prompts of at least this size go to runners of the prefill stage, as in {@link RequestForwarder}. */
    private static final int LONG_PROMPT_TOKENS = 1024;
    /** Bounds the memory if messages name very many services; further ones are ignored. */
    private static final int MAXIMUM_SERVICES = 1024;

    private final String instance;
    private final long run;
    private final PeerMessenger messenger;
    private final FleetCoordinator coordinator;
    private final ConfigurationHolder configuration;
    private final TargetDirectory directory;
    private final PromptPlacement promptPlacement;
    private final ArrivedWorkCounter counter;
    private final Predicate<String> demandBased;
    private final TimerService timers;
    private final IngressMetrics metrics;
    private final Map<String, FleetDemand> demands = new HashMap<>();
    /** Services of the configuration that the next message starts with, if not all fit into one. */
    private int firstService;

    ArrivedWorkExchange(
            IngressSettings settings,
            PeerMessenger messenger,
            FleetCoordinator coordinator,
            ConfigurationHolder configuration,
            TargetDirectory directory,
            PromptPlacement promptPlacement,
            ArrivedWorkCounter counter,
            Predicate<String> demandBased,
            TimerService timers,
            IngressMetrics metrics) {
        this.instance = settings.instance().name();
        this.run = timers.wallClockMilliseconds();
        this.messenger = messenger;
        this.coordinator = coordinator;
        this.configuration = configuration;
        this.directory = directory;
        this.promptPlacement = promptPlacement;
        this.counter = counter;
        this.demandBased = demandBased;
        this.timers = timers;
        this.metrics = metrics;
        messenger.onMessage(ArrivedWorkMessage.TYPE, this::onMessage);
    }

    void start() {
        var unused = timers.repeat(INTERVAL, "arrived work", this::exchange);
    }

    /** Tells whether the size of a service's fleet follows its demand. */
    boolean followsDemand(ServiceProfile service) {
        return service.scaling().isPresent() && service.engine().isPresent() && demandBased.test(service.name());
    }

    // Counting

    /** Counts a request for a service. */
    void countRequest(String service, HostRoute route, RequestDescription description, PromptSummary prompt) {
        if (description.promptTokens() <= 0 || !demandBased.test(service)) {
            return;
        }
        double objective = (double) route.latencyObjective().toMillis();
        double factor = promptPlacement.prefillFactor(service);
        if (route.kind() == RequestKind.STREAMING && description.promptTokens() >= LONG_PROMPT_TOKENS) {
            counter.countLongPrompt(service, prompt, objective, factor);
        } else {
            counter.countShortPrompt(service, description.promptTokens(), objective, factor);
        }
    }

    /** Counts the generation of a stream that has ended. */
    void countGeneration(TargetEntry runner, Duration duration) {
        if (demandBased.test(runner.service())) {
            counter.countGeneration(runner.service(), duration.toNanos() / 1e6, runner.slots());
        }
    }

    /** Counts the prefill of a shared part that the chosen runner does not have. */
    void countPlacement(Placement placement, PromptSummary prompt) {
        String service = placement.target().entry().service();
        if (demandBased.test(service)) {
            counter.countSharedPrefill(
                    service,
                    prompt,
                    placement.prefillMilliseconds(),
                    placement.prefillFactor(),
                    placement.target().entry().stage());
        }
    }

    // Exchange

    private void exchange() {
        List<String> services = configuration
                .current()
                .map(current -> current.services().stream()
                        .filter(this::followsDemand)
                        .map(ServiceProfile::name)
                        .sorted()
                        .toList())
                .orElse(List.of());
        if (services.isEmpty()) {
            return;
        }
        long now = timers.monotonicNanoseconds();
        services.forEach(service -> counter.sampleLoad(service, directory.forService(service), now));
        if (coordinator.fencingToken().isPresent()) {
            services.forEach(service -> record(service, instance, run, uptime(), counter.totals(service)));
        } else {
            coordinator.leaseHolder().ifPresent(holder -> send(services, holder));
        }
    }

    private long uptime() {
        return Duration.ofNanos(timers.monotonicNanoseconds()).toMillis();
    }

    /** Sends as many totals as fit into one message; the next message continues with the others. */
    private void send(List<String> services, Peer holder) {
        ObjectNode message = ArrivedWorkMessage.encode(instance, run, uptime());
        int added = 0;
        while (added < services.size()) {
            String service = services.get((firstService + added) % services.size());
            ArrivedWorkMessage.add(message, service, counter.totals(service));
            if (message.toString().getBytes(StandardCharsets.UTF_8).length > PeerMessenger.MAXIMUM_BYTES) {
                ArrivedWorkMessage.remove(message, service);
                // A service whose name alone fills a message is left out.
                firstService = (firstService + Math.max(1, added)) % services.size();
                break;
            }
            added++;
        }
        messenger.send(message, List.of(holder));
        metrics.count("arrived_work_sent");
    }

    private void onMessage(JsonNode message) throws FireflywalkException {
        try {
            ArrivedWorkMessage decoded = ArrivedWorkMessage.decode(message);
            decoded.totals()
                    .forEach((service, totals) ->
                            record(service, decoded.instance(), decoded.run(), decoded.uptimeMilliseconds(), totals));
            metrics.count("arrived_work_received");
        } catch (FireflywalkException exception) {
            metrics.count("arrived_work_ignored");
            throw exception;
        }
    }

    private void record(String service, String sender, long senderRun, long uptime, ArrivedWork totals) {
        if (demands.containsKey(service) || demands.size() < MAXIMUM_SERVICES) {
            demands.computeIfAbsent(service, name -> new FleetDemand())
                    .record(sender, senderRun, uptime, totals, timers.monotonicNanoseconds());
        }
    }

    // Lease holder

    /** Returns the demand of a service, which has no samples of an earlier lease. */
    FleetDemand newDemand(String service) {
        FleetDemand demand = new FleetDemand();
        demands.put(service, demand);
        return demand;
    }

    /** Returns the work of the latest second; empty if the totals of too many instances are missing. */
    Optional<ArrivedWork> sample(FleetDemand demand) {
        return demand.sample(coordinator.instanceCount(), timers.monotonicNanoseconds());
    }
}
