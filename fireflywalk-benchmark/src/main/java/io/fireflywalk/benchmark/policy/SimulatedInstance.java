package io.fireflywalk.benchmark.policy;

import io.fireflywalk.benchmark.policy.SimulatedRequest.Kind;
import io.fireflywalk.core.admission.AdmissionController;
import io.fireflywalk.core.admission.AdmissionDecision;
import io.fireflywalk.core.admission.AdmissionRequest;
import io.fireflywalk.core.admission.AdmissionSettings;
import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.admission.ShareLedger;
import io.fireflywalk.core.admission.UsageDigest;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.routing.ExpectedTimeSelector;
import io.fireflywalk.core.routing.LoadReport;
import io.fireflywalk.core.routing.LoadView;
import io.fireflywalk.core.routing.PrefixCacheEstimate;
import io.fireflywalk.core.routing.RequestFeatures;
import io.fireflywalk.core.routing.RoutingDecision;
import io.fireflywalk.core.routing.RoutingSettings;
import io.fireflywalk.core.routing.RunnerProfile;
import io.fireflywalk.core.routing.SentLoad;
import io.fireflywalk.standin.engine.EngineRequest;
import io.fireflywalk.standin.engine.SimulatedEngine;
import io.fireflywalk.standin.engine.VirtualTimeScheduler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** One simulated gateway instance of one service, with its own delayed view of the runners. Confined to one thread. */
final class SimulatedInstance {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final long HOP_DELAY_NANOSECONDS = 1_000_000;
    private static final long POLL_INTERVAL_NANOSECONDS = 250_000_000;
    private static final int RUNNERS_PER_POLL = 4;
    private static final long ADMISSION_INTERVAL_NANOSECONDS = 20_000_000;
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final int MAXIMUM_RETRIES = 2;

    private final VirtualTimeScheduler time;
    private final Policy policy;
    private final SimulatedPool pool;
    private final Random random;
    private final AdmissionSettings admissionSettings = AdmissionSettings.defaults();
    private final LoadView view = new LoadView(RunnerProfile.defaults());
    private final PrefixCacheEstimate cacheEstimate = new PrefixCacheEstimate();
    private final ExpectedTimeSelector selector;
    private final ShareLedger ledger;
    private final AdmissionController admission;
    private final Map<Long, SimulatedRequest> queued = new HashMap<>();
    private final Map<SimulatedInstance, Integer> queuedByPeer = new HashMap<>();
    private final Map<String, LoadReport> lastReports = new HashMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private int nextPolled;
    private int nextTarget;
    private boolean alive = true;

    SimulatedInstance(VirtualTimeScheduler time, Policy policy, SimulatedPool pool, long seed) {
        this.time = time;
        this.policy = policy;
        this.pool = pool;
        this.random = new Random(seed);
        this.selector = new ExpectedTimeSelector(
                view, cacheEstimate, RoutingSettings.defaults().withSplit(policy.splitEnabled()));
        this.ledger = new ShareLedger(admissionSettings, Workload.ACCOUNT_WEIGHTS);
        this.admission = new AdmissionController(admissionSettings, ledger, random);
        this.nextTarget = random.nextInt(pool.targets.size());
        pool.targets.forEach(target -> view.runner(target.name()));
        time.scheduleAtFixedRate(
                (long) (random.nextDouble() * POLL_INTERVAL_NANOSECONDS), POLL_INTERVAL_NANOSECONDS, this::poll);
        if (policy.sharesEnforced()) {
            time.scheduleAtFixedRate(
                    (long) (random.nextDouble() * ADMISSION_INTERVAL_NANOSECONDS),
                    ADMISSION_INTERVAL_NANOSECONDS,
                    this::release);
        }
    }

    boolean alive() {
        return alive;
    }

    /** Kills the instance; its requests are lost. */
    void kill() {
        alive = false;
    }

    /** Admits, queues or refuses a request; without shares, routes it at once. */
    void arrive(SimulatedRequest request) {
        if (!alive) {
            return;
        }
        if (!policy.sharesEnforced()) {
            route(request, new HashSet<>());
            return;
        }
        double expectedSeconds = request.kind == Kind.LONG ? 2 + request.outputTokens * 0.02 : 0.2;
        double cost = request.promptTokens * (request.kind == Kind.LONG ? 0.5 : 1)
                + admissionSettings.outputWeight() * request.outputTokens;
        double toleranceSeconds = request.kind == Kind.LONG ? 8 : admissionSettings.queueSeconds();
        AdmissionDecision decision = admission.offer(
                new AdmissionRequest(
                        request.id, request.account, cost, expectedSeconds, request.deadline(), toleranceSeconds),
                pressure(),
                time.nowNanoseconds());
        queued.put(request.id, request);
        apply(decision);
    }

    /** Sends the digests of load and usage to the peers. */
    void heartbeat(List<SimulatedInstance> peers) {
        if (!alive) {
            return;
        }
        SentLoad sent = view.drainSentLoad();
        UsageDigest usage = ledger.takeDigest(1, admission.queuedByAccount());
        int queuedNow = admission.queuedRequests();
        time.schedule(HOP_DELAY_NANOSECONDS, () -> {
            for (SimulatedInstance peer : peers) {
                if (peer != this && peer.alive) {
                    peer.view.recordPeerLoad(sent, time.nowNanoseconds());
                    peer.ledger.addPeerUsage(usage, time.nowNanoseconds());
                    peer.queuedByPeer.put(this, queuedNow);
                }
            }
        });
    }

    private FleetPressure pressure() {
        return selector.pressure(pool.targets, admissionSettings.outputWeight(), time.nowNanoseconds());
    }

    private void release() {
        if (!alive) {
            return;
        }
        ledger.settle(time.nowNanoseconds());
        int requests =
                queuedByPeer.values().stream().mapToInt(Integer::intValue).sum();
        long peers = queuedByPeer.values().stream().filter(count -> count > 0).count();
        admission.updatePeerQueues(requests, (int) peers);
        admission.admitQueued(pressure(), time.nowNanoseconds()).forEach(this::apply);
    }

    private void apply(AdmissionDecision decision) {
        switch (decision.state()) {
            case ADMITTED -> route(queued.remove(decision.id()), new HashSet<>());
            case REFUSED -> {
                SimulatedRequest request = queued.remove(decision.id());
                if (request.retries < MAXIMUM_RETRIES && random.nextBoolean()) {
                    request.retries++;
                    time.schedule(
                            (long) (decision.retryAfterSeconds() * NANOSECONDS_PER_SECOND), () -> arrive(request));
                }
            }
            default -> {}
        }
    }

    private void poll() {
        if (!alive) {
            return;
        }
        for (int i = 0; i < RUNNERS_PER_POLL; i++) {
            Target target = pool.targets.get(nextPolled++ % pool.targets.size());
            SimulatedEngine engine = pool.engines.get(target.name());
            if (!engine.alive()) {
                view.runner(target.name()).recordFailure(time.nowNanoseconds());
                unreachable.add(target.name());
                continue;
            }
            LoadReport report = engine.report();
            time.schedule(2 * HOP_DELAY_NANOSECONDS, () -> {
                if (view.runner(target.name()).recordReport(report, time.nowNanoseconds())) {
                    cacheEstimate.clearRunner(target.name());
                }
                if (unreachable.remove(target.name())) {
                    view.runner(target.name()).recordProgress(time.nowNanoseconds());
                }
                lastReports.put(target.name(), report);
            });
        }
    }

    private void route(SimulatedRequest request, Set<String> excluded) {
        if (!alive || request.attempts >= MAXIMUM_ATTEMPTS) {
            return;
        }
        request.attempts++;
        Optional<RoutingDecision> decision =
                switch (policy.routing()) {
                    case ROUND_ROBIN -> nextRoundRobin(excluded);
                    case LEAST_REPORTED -> leastReported(excluded);
                    case EXPECTED ->
                        selector.select(features(request, excluded), pool.targets, time.nowNanoseconds(), random);
                };
        decision.ifPresent(chosen -> time.schedule(HOP_DELAY_NANOSECONDS, () -> send(request, chosen, excluded)));
    }

    private RequestFeatures features(SimulatedRequest request, Set<String> excluded) {
        double remaining = (request.deadline() - time.nowNanoseconds()) / NANOSECONDS_PER_SECOND;
        return new RequestFeatures(
                request.promptTokens,
                Math.max(1, request.outputTokens - request.generatedTokens),
                request.kind == Kind.LONG ? 0 : 1,
                remaining,
                request.prefix,
                excluded);
    }

    private Optional<RoutingDecision> nextRoundRobin(Set<String> excluded) {
        for (int i = 0; i < pool.targets.size(); i++) {
            Target target = pool.targets.get(nextTarget++ % pool.targets.size());
            if (!excluded.contains(target.name()) && !unreachable.contains(target.name())) {
                return Optional.of(new RoutingDecision(target, List.of()));
            }
        }
        return Optional.empty();
    }

    private Optional<RoutingDecision> leastReported(Set<String> excluded) {
        Target best = null;
        int bestLoad = Integer.MAX_VALUE;
        int start = random.nextInt(pool.targets.size());
        for (int i = 0; i < pool.targets.size(); i++) {
            Target target = pool.targets.get((start + i) % pool.targets.size());
            LoadReport report = lastReports.get(target.name());
            int load = report == null ? 0 : report.runningRequests() + report.waitingRequests();
            if (load < bestLoad && !excluded.contains(target.name()) && !unreachable.contains(target.name())) {
                best = target;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best).map(target -> new RoutingDecision(target, List.of()));
    }

    private void send(SimulatedRequest request, RoutingDecision decision, Set<String> excluded) {
        Target target = decision.chosen();
        long cached = decision.estimates().isEmpty()
                ? 0
                : Math.round(decision.estimates().get(0).cachedTokens());
        long uncachedTokens = Math.max(1, request.promptTokens - cached);
        double expectedSeconds =
                decision.estimates().isEmpty() ? 0 : decision.estimates().get(0).firstTokenSeconds();
        Attempt attempt =
                new Attempt(request, target, uncachedTokens, expectedSeconds, decision.decodeTarget(), excluded);
        attempt.engineRequest = new EngineRequest(
                request.prefixIdentifier,
                request.prefixTokens,
                request.promptTokens,
                Math.max(1, request.outputTokens - request.generatedTokens),
                request.kind == Kind.LONG ? 0 : 1,
                decision.decodeTarget().isPresent(),
                attempt::handle);
        view.recordSent(target.name(), uncachedTokens, time.nowNanoseconds());
        if (request.prefixTokens > 0) {
            cacheEstimate.recordSent(request.prefix, target.name(), view, time.nowNanoseconds());
        }
        if (!pool.engines.get(target.name()).submit(attempt.engineRequest)) {
            attempt.fail();
        }
    }

    /** One attempt of a request on one runner, or on two if prefill and decode are split. */
    private final class Attempt {
        private final SimulatedRequest request;
        private final Target target;
        private final long uncachedTokens;
        private final double expectedSeconds;
        private final Optional<Target> decodeTarget;
        private final Set<String> excluded;
        private final long sentAt = time.nowNanoseconds();
        private EngineRequest engineRequest;
        private String currentRunner;
        private boolean firstTokenReceived;

        Attempt(
                SimulatedRequest request,
                Target target,
                long uncachedTokens,
                double expectedSeconds,
                Optional<Target> decodeTarget,
                Set<String> excluded) {
            this.request = request;
            this.target = target;
            this.currentRunner = target.name();
            this.uncachedTokens = uncachedTokens;
            this.expectedSeconds = expectedSeconds;
            this.decodeTarget = decodeTarget;
            this.excluded = excluded;
        }

        void handle(EngineRequest.Event event) {
            if (!alive) {
                pool.engines.get(currentRunner).cancel(engineRequest);
                return;
            }
            switch (event) {
                case TOKEN -> token();
                case PREFILLED -> startDecode();
                case FINISHED -> {
                    view.runner(currentRunner).recordEnd();
                    request.finished(time.nowNanoseconds());
                }
                default -> fail();
            }
        }

        void fail() {
            if (firstTokenReceived) {
                view.runner(currentRunner).recordEnd();
            } else {
                view.runner(currentRunner).recordAbandoned(uncachedTokens);
            }
            view.runner(currentRunner).recordFailure(time.nowNanoseconds());
            unreachable.add(currentRunner);
            cacheEstimate.clearRunner(currentRunner);
            excluded.add(currentRunner);
            route(request, excluded);
        }

        private void token() {
            if (!firstTokenReceived) {
                firstTokenReceived = true;
                double observedSeconds = (time.nowNanoseconds() - sentAt) / NANOSECONDS_PER_SECOND;
                view.runner(currentRunner)
                        .recordFirstToken(uncachedTokens, expectedSeconds, observedSeconds, time.nowNanoseconds());
                if (request.prefixTokens > 0) {
                    cacheEstimate.recordCacheHit(
                            request.prefix, currentRunner, engineRequest.cachedTokens(), view, time.nowNanoseconds());
                }
            } else {
                view.runner(currentRunner).recordProgress(time.nowNanoseconds());
            }
            request.token(time.nowNanoseconds());
        }

        private void startDecode() {
            view.runner(currentRunner).recordEnd();
            currentRunner = decodeTarget.orElse(target).name();
            int remaining = request.outputTokens - request.generatedTokens;
            if (remaining <= 0) {
                request.finished(time.nowNanoseconds());
                return;
            }
            view.recordImported(currentRunner, time.nowNanoseconds());
            engineRequest = new EngineRequest(0, 0, request.promptTokens, remaining, 1, false, this::handle);
            if (!pool.engines.get(currentRunner).submitPrefilled(engineRequest, request.promptTokens)) {
                fail();
            }
        }
    }
}
