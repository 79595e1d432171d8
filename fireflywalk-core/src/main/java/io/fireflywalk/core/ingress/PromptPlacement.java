package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.DecisionExplanation.Candidate;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.core.membership.RendezvousHashing;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the runner for the prefill of a long prompt, by the estimated time to first token. A runner that lacks the
 * shared part of the prompt fetches its KV cache from a runner that has it. For a part that no runner has, the home
 * runner given by rendezvous hashing is preferred, so that concurrent decisions of several instances choose the same
 * runner. Not thread-safe.
 */
public final class PromptPlacement {
    /** Prompts of at least this size go to runners of the prefill stage, if there are any. */
    private static final int LONG_PROMPT_TOKENS = 1024;
    /** Advantage of the home runner of a part that no runner has, so that only one runner computes it. */
    private static final double HOME_BONUS_MILLISECONDS = 25;
    /** Cost of another copy of a shared part, which evicts other parts from the runner's KV cache. */
    private static final double COPY_PENALTY_MILLISECONDS = 60;
    /** Cost of another availability zone: the round trip and the price of the traffic. */
    private static final double OTHER_ZONE_PENALTY_MILLISECONDS = 30;
    /** Cost of a target with a failure rate of 1. */
    private static final double FAILURE_PENALTY_MILLISECONDS = 4000;
    /** Cost of a rejection: a round trip, and an attempt of the two that a prompt has. */
    private static final double REJECTION_PENALTY_MILLISECONDS = 300;
    /** Delay of a prefill by each running request of a runner that also decodes. */
    private static final double DELAY_PER_STREAM_MILLISECONDS = 4;

    /** Cost of prefill at a runner that also decodes, because it blocks the runner's streams and short prompts. */
    private static final double DECODE_RUNNER_PENALTY_MILLISECONDS = 60;
    /** Fraction of the objective for which a prompt may wait even if its prefill alone exceeds the objective. */
    private static final double LONG_PROMPT_WAIT_FRACTION = 0.3;

    /** Time without a response after which a runner counts as stalled, as a multiple of the estimate. */
    private static final double STALL_TIMEOUT_PER_ESTIMATE = 2;

    private static final double MAXIMUM_JITTER_MILLISECONDS = 8;

    /** Bounds the memory if a configuration names very many services. */
    private static final int MAXIMUM_SERVICES = 1024;

    private final RunnerLatencyModel latencyModel;
    private final RandomGenerator random;
    private final Map<String, PrefillCalibration> calibrations = new HashMap<>();

    /**
     * Runner chosen for the prefill of a prompt.
     *
     * @param target the runner
     * @param fetchFrom runner from which it fetches the KV cache of the shared part; empty if it does not
     * @param timeToFirstTokenMilliseconds estimated time to first token, with the penalties and bonuses of the runner
     * @param queueMilliseconds part of that time spent waiting for earlier prompts
     * @param prefillMilliseconds part of that time spent in prefill
     * @param prefillFactor factor of the latency model's prefill time that has been learned for the service
     * @param candidates number of runners that were compared
     */
    public record Placement(
            TargetState target,
            Optional<TargetState> fetchFrom,
            double timeToFirstTokenMilliseconds,
            double queueMilliseconds,
            double prefillMilliseconds,
            double prefillFactor,
            int candidates) {

        /**
         * Tells whether the wait makes a request miss its objective. A prompt whose prefill alone exceeds the objective
         * may still wait for a fraction of it, so that very long prompts are served too.
         */
        public boolean waitMissesObjective(double objectiveMilliseconds, double elapsedMilliseconds) {
            double slack =
                    objectiveMilliseconds - elapsedMilliseconds - (timeToFirstTokenMilliseconds - queueMilliseconds);
            return queueMilliseconds > Math.max(slack, LONG_PROMPT_WAIT_FRACTION * objectiveMilliseconds);
        }

        /** Returns the time without a response after which the runner counts as stalled; long prompts get more time. */
        public Duration stallTimeout(Duration minimum) {
            Duration estimated =
                    Duration.ofNanos((long) (STALL_TIMEOUT_PER_ESTIMATE * timeToFirstTokenMilliseconds * 1e6));
            return estimated.compareTo(minimum) > 0 ? estimated : minimum;
        }
    }

    public PromptPlacement(RunnerLatencyModel latencyModel, RandomGenerator random) {
        this.latencyModel = latencyModel;
        this.random = random;
    }

    /** Records the observed time of a prefill, from which later estimates for the service are corrected. */
    public void recordPrefillTime(Placement placement, double milliseconds) {
        if (placement.queueMilliseconds() == 0 && placement.fetchFrom().isEmpty()) {
            PrefillCalibration calibration =
                    calibration(placement.target().entry().service());
            calibration.observe(placement.prefillMilliseconds() / placement.prefillFactor(), milliseconds);
        }
    }

    /** Returns the time that prefill takes at a service, as a multiple of the latency model's. */
    public double prefillFactor(String service) {
        PrefillCalibration known = calibrations.get(service);
        return known == null ? PrefillCalibration.INITIAL_FACTOR : known.factor();
    }

    private PrefillCalibration calibration(String service) {
        if (calibrations.size() >= MAXIMUM_SERVICES && !calibrations.containsKey(service)) {
            calibrations.clear();
        }
        return calibrations.computeIfAbsent(service, name -> new PrefillCalibration());
    }

    /** Chooses among the runners of all stages of a service. */
    public Optional<Placement> choose(
            Collection<TargetState> targets,
            Set<String> excluded,
            int maximumInFlight,
            PromptSummary prompt,
            String availabilityZone,
            long now) {
        return choose(targets, excluded, maximumInFlight, prompt, availabilityZone, Optional.empty(), now);
    }

    /**
     * Chooses among the runners of all stages of a service.
     *
     * @param load load of the service, if its targets are chosen by work: the estimate then takes account of the reported
     *     queue and slowdown of each runner
     */
    public Optional<Placement> choose(
            Collection<TargetState> targets,
            Set<String> excluded,
            int maximumInFlight,
            PromptSummary prompt,
            String availabilityZone,
            Optional<ServiceLoad> load,
            long now) {
        List<TargetState> holders = holders(targets, prompt, now);
        Optional<TargetState> home = holders.isEmpty() ? home(targets, prompt.sharedPart()) : Optional.empty();
        boolean canDecode = canDecode(targets, now);
        Placement best = null;
        int candidates = 0;
        for (TargetState target : targets) {
            if (eligibility(target, excluded, maximumInFlight, canDecode, now) != Eligibility.ELIGIBLE) {
                continue;
            }
            candidates++;
            double jitter = MAXIMUM_JITTER_MILLISECONDS * random.nextDouble();
            Placement placement = place(target, home, holders, prompt, availabilityZone, load, jitter, now);
            if (best == null || placement.timeToFirstTokenMilliseconds() < best.timeToFirstTokenMilliseconds()) {
                best = placement;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        return Optional.of(new Placement(
                best.target(),
                best.fetchFrom(),
                best.timeToFirstTokenMilliseconds(),
                best.queueMilliseconds(),
                best.prefillMilliseconds(),
                best.prefillFactor(),
                candidates));
    }

    /** Returns the figures of all runners for a prompt that no attempt has been made for, without a choice. */
    public TargetEvaluation evaluate(
            Collection<TargetState> targets,
            Set<String> excluded,
            int maximumInFlight,
            PromptSummary prompt,
            String availabilityZone,
            Optional<ServiceLoad> load,
            long now) {
        List<TargetState> holders = holders(targets, prompt, now);
        Optional<TargetState> home = holders.isEmpty() ? home(targets, prompt.sharedPart()) : Optional.empty();
        boolean canDecode = canDecode(targets, now);
        Map<TargetState, Placement> placements = new LinkedHashMap<>();
        Map<TargetState, Double> costs = new LinkedHashMap<>();
        for (TargetState target : targets) {
            Placement placement = place(target, home, holders, prompt, availabilityZone, load, 0, now);
            placements.put(target, placement);
            if (eligibility(target, excluded, maximumInFlight, canDecode, now) == Eligibility.ELIGIBLE) {
                costs.put(target, placement.timeToFirstTokenMilliseconds());
            }
        }
        Map<TargetState, Double> probabilities = JitteredCosts.lowestProbabilities(costs, MAXIMUM_JITTER_MILLISECONDS);
        List<Candidate> candidates = targets.stream()
                .map(target -> Candidate.of(
                        target,
                        eligibility(target, excluded, maximumInFlight, canDecode, now),
                        probabilities.getOrDefault(target, 0.0),
                        Optional.empty(),
                        Optional.of(placements.get(target).timeToFirstTokenMilliseconds()),
                        load,
                        now))
                .toList();
        Optional<Placement> best = costs.entrySet().stream()
                .min(Map.Entry.comparingByValue())
                .map(entry -> placements.get(entry.getKey()));
        return new TargetEvaluation("prompt_placement", candidates, Optional.empty(), best);
    }

    /** Tells whether the prompts of such requests are placed by this class. */
    public static boolean appliesTo(HostRoute route, RequestDescription description) {
        return route.kind() == RequestKind.STREAMING && description.promptTokens() >= LONG_PROMPT_TOKENS;
    }

    private static List<TargetState> holders(Collection<TargetState> targets, PromptSummary prompt, long now) {
        return targets.stream()
                .filter(target -> target.hasPart(prompt.sharedPart(), now) && target.available(now))
                .toList();
    }

    private static boolean canDecode(Collection<TargetState> targets, long now) {
        return targets.stream().anyMatch(target -> target.entry().stage() != Stage.PREFILL && target.available(now));
    }

    private static Eligibility eligibility(
            TargetState target, Set<String> excluded, int maximumInFlight, boolean canDecode, long now) {
        return canDecode || target.entry().stage() != Stage.PREFILL
                ? target.eligibility(excluded, maximumInFlight, now)
                : Eligibility.OTHER_STAGE;
    }

    private Placement place(
            TargetState target,
            Optional<TargetState> home,
            List<TargetState> holders,
            PromptSummary prompt,
            String availabilityZone,
            Optional<ServiceLoad> load,
            double jitterMilliseconds,
            long now) {
        int shared = prompt.sharedTokens();
        boolean isDecodeRunner = target.entry().stage() != Stage.PREFILL;
        boolean cachedOrPending = target.hasOrExpectsPart(prompt.sharedPart());
        Optional<TargetState> source = cachedOrPending ? Optional.empty() : source(target, holders);
        double timeFactor =
                load.isPresent() ? target.work().timeFactor(load.get().meanSlowdown(), now) : 1;
        double prefillFactor = timeFactor * prefillFactor(target.entry().service());
        double prefillMilliseconds =
                prefillFactor * latencyModel.prefillMilliseconds(prompt.ownTokens(), shared, isDecodeRunner);
        double firstTokenMilliseconds = latencyModel.firstTokenMilliseconds();
        if (source.isPresent()) {
            firstTokenMilliseconds +=
                    latencyModel.fetchMilliseconds(shared, !sameZone(target, source.get())) + COPY_PENALTY_MILLISECONDS;
        } else if (!cachedOrPending) {
            prefillMilliseconds += prefillFactor * latencyModel.prefillMilliseconds(shared, 0, isDecodeRunner);
            firstTokenMilliseconds -= home.filter(target::equals).isPresent() ? HOME_BONUS_MILLISECONDS : 0;
        }
        double waitMilliseconds = waitMilliseconds(target, prompt.priority(), isDecodeRunner, now);
        if (load.isPresent()) {
            waitMilliseconds = load.get().prefillWaitMilliseconds(target, waitMilliseconds, prefillMilliseconds, now);
            firstTokenMilliseconds += load.get().rejectionProbability(target, now) * REJECTION_PENALTY_MILLISECONDS;
        }
        firstTokenMilliseconds += prefillMilliseconds + waitMilliseconds;
        if (isDecodeRunner) {
            firstTokenMilliseconds += DECODE_RUNNER_PENALTY_MILLISECONDS;
        }
        if (target.entry().stage() == Stage.PREFILL) {
            firstTokenMilliseconds += latencyModel.fetchMilliseconds(shared + prompt.ownTokens(), false);
        }
        if (!target.entry().availabilityZone().equals(availabilityZone)) {
            firstTokenMilliseconds += OTHER_ZONE_PENALTY_MILLISECONDS;
        }
        firstTokenMilliseconds += FAILURE_PENALTY_MILLISECONDS * target.failureRate() + jitterMilliseconds;
        return new Placement(
                target,
                source,
                firstTokenMilliseconds,
                waitMilliseconds,
                prefillMilliseconds,
                prefillFactor / timeFactor,
                0);
    }

    private static double waitMilliseconds(TargetState target, int priority, boolean isDecodeRunner, long now) {
        double prefillWait = target.prefillWaitMilliseconds(priority, now);
        return isDecodeRunner
                ? prefillWait + target.estimatedRequests(now) * DELAY_PER_STREAM_MILLISECONDS
                : prefillWait;
    }

    /** Returns a runner from which the target can fetch the shared part, preferably in the same availability zone. */
    private static Optional<TargetState> source(TargetState target, List<TargetState> holders) {
        return holders.stream()
                .filter(holder -> sameZone(target, holder))
                .findFirst()
                .or(() -> holders.stream().findFirst());
    }

    private static boolean sameZone(TargetState first, TargetState second) {
        return first.entry().availabilityZone().equals(second.entry().availabilityZone());
    }

    /** Returns the home runner of a part among the prefill runners, or among all runners if there are none. */
    private static Optional<TargetState> home(Collection<TargetState> targets, String part) {
        if (part.isEmpty()) {
            return Optional.empty();
        }
        Comparator<TargetState> byHash = Comparator.comparingLong(
                target -> RendezvousHashing.hash(target.entry().identifier() + '\n' + part));
        Optional<TargetState> prefillHome = targets.stream()
                .filter(target -> !target.entry().leaving() && target.entry().stage() == Stage.PREFILL)
                .max(byHash);
        return prefillHome.or(() ->
                targets.stream().filter(target -> !target.entry().leaving()).max(byHash));
    }
}
