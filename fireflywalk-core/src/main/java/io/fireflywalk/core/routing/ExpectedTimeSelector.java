package io.fireflywalk.core.routing;

import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.configuration.Target;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Takes the candidate with the best expected times among a few: random ones of the lane that computes prompts and of the
 * lane that generates, the runners that are believed to hold the prompt's prefix, and for long prompts the prefix's
 * home, a runner that all instances compute alike from the hash. The sample keeps instances with the same old reports
 * from all taking the same runner; the home makes instances that know nothing of each other's requests collect a prefix
 * on one runner. Confined to one thread.
 *
 * <p>A request that goes to the lane that computes prompts is handed over to one that generates, unless its answer is so
 * short that the transfer would show. A request may also run as a whole in the generating lane; its score then has the
 * delay that its prompt causes to the requests that generate there.
 *
 * <p>The cost of a decision does not grow with the number of targets, apart from the division into lanes, which is
 * renewed ten times a second.
 */
public final class ExpectedTimeSelector implements RunnerSelector {
    private static final int MAXIMUM_CANDIDATES = 16;
    private static final int DRAWS_PER_CANDIDATE = 3;
    private static final long JUMP_MULTIPLIER = 2_862_933_555_777_941_757L;

    private final LoadView view;
    private final PrefixEstimate prefixes;
    private final RoutingSettings settings;
    private final Lanes lanes;

    public ExpectedTimeSelector(LoadView view, PrefixEstimate prefixes, RoutingSettings settings) {
        this.view = view;
        this.prefixes = prefixes;
        this.settings = settings;
        this.lanes = new Lanes(view, settings);
    }

    @Override
    public Optional<RoutingDecision> select(
            RequestFeatures request, List<Target> targets, long now, RandomGenerator random) {
        lanes.refresh(targets, now);
        Candidates candidates = sample(request, targets, random);
        if (candidates.count == 0) {
            addAny(request, targets, random, candidates);
        }
        List<CandidateEstimate> estimates = new ArrayList<>(candidates.count);
        int best = -1;
        for (int i = 0; i < candidates.count; i++) {
            int index = candidates.indices[i];
            estimates.add(estimate(request, targets, index, now));
            boolean prefills = view.runner(targets.get(index).name()).role() != RunnerRole.DECODE;
            if (prefills
                    && (best < 0
                            || estimates.get(i).score() < estimates.get(best).score())) {
                best = i;
            }
        }
        if (best < 0) {
            return Optional.empty();
        }
        CandidateEstimate chosen = estimates.get(best);
        view.routed(Math.round(request.promptTokens() - chosen.cachedTokens()), request.expectedOutputTokens(), now);
        Optional<Target> decodeTarget = decodeTarget(request, candidates, best, estimates);
        estimates.remove(best);
        estimates.add(0, chosen);
        return Optional.of(new RoutingDecision(chosen.target(), List.of(), estimates, decodeTarget));
    }

    /** Returns the pressure on the service's targets, with the work of a generated token relative to a prompt token. */
    public FleetPressure pressure(List<Target> targets, double outputWeight, long now) {
        lanes.refresh(targets, now);
        return PressureGauge.measure(view, targets, lanes, settings, outputWeight, now);
    }

    private Candidates sample(RequestFeatures request, List<Target> targets, RandomGenerator random) {
        Candidates candidates = new Candidates();
        int[] prefill = lanes.prefill();
        if (request.isLong() && request.prefix().size() > 0) {
            addHolders(request, targets, candidates);
            if (prefill.length > 0) {
                add(request, targets, prefill[home(request.prefix(), prefill.length)], candidates);
            }
        }
        addSample(request, targets, prefill, random, candidates);
        addSample(request, targets, lanes.decode(), random, candidates);
        return candidates;
    }

    private void addSample(
            RequestFeatures request, List<Target> targets, int[] lane, RandomGenerator random, Candidates candidates) {
        int wanted = candidates.count + Math.min(settings.sampledCandidates(), lane.length);
        int draws = wanted * DRAWS_PER_CANDIDATE;
        for (int i = 0; i < draws && candidates.count < wanted && lane.length > 0; i++) {
            add(request, targets, lane[random.nextInt(lane.length)], candidates);
        }
    }

    /** With no usable runner in either lane, an avoided one is better than a refusal. */
    private void addAny(RequestFeatures request, List<Target> targets, RandomGenerator random, Candidates candidates) {
        int start = targets.isEmpty() ? 0 : random.nextInt(targets.size());
        for (int i = 0; i < targets.size() && candidates.count < settings.sampledCandidates(); i++) {
            add(request, targets, (start + i) % targets.size(), candidates);
        }
    }

    private void addHolders(RequestFeatures request, List<Target> targets, Candidates candidates) {
        List<String> holders = prefixes.holdersOf(request.prefix());
        if (holders.isEmpty()) {
            return;
        }
        for (int index : lanes.prefill()) {
            if (holders.contains(targets.get(index).name())) {
                add(request, targets, index, candidates);
            }
        }
    }

    private static void add(RequestFeatures request, List<Target> targets, int index, Candidates candidates) {
        Target target = targets.get(index);
        if (!target.leaving() && !request.excluded().contains(target.name())) {
            candidates.add(index);
        }
    }

    /** Jump consistent hash: when the lane grows or shrinks by one runner, few prefixes move. */
    private int home(PrefixDigest prefix, int count) {
        long key = prefix.hash(Math.min(settings.homeBoundary(), prefix.size() - 1));
        long bucket = -1;
        long next = 0;
        while (next < count) {
            bucket = next;
            key = key * JUMP_MULTIPLIER + 1;
            next = (long) ((bucket + 1) * ((1L << 31) / (double) ((key >>> 33) + 1)));
        }
        return (int) bucket;
    }

    private CandidateEstimate estimate(RequestFeatures request, List<Target> targets, int index, long now) {
        Target target = targets.get(index);
        RunnerLoad load = view.runner(target.name());
        PrefixDigest prefix = request.prefix();
        double cached = prefix.size() == 0 ? 0 : prefixes.cachedTokens(prefix, target.name(), view, now);
        if (cached == 0 && request.isLong() && prefix.size() > 0 && isHome(prefix, index)) {
            cached = prefix.tokens(prefix.size() - 1) * settings.homeHitProbability();
        }
        double uncached = Math.max(1, request.promptTokens() - cached);
        double first = load.firstTokenSeconds(uncached, now) + load.silencePenaltySeconds(now);
        boolean handedOver = !lanes.decodes(index) && (settings.split() || load.role() == RunnerRole.PREFILL);
        double between = load.betweenTokensSeconds(handedOver ? 0 : uncached, now);
        double disturbance =
                settings.disturbanceWeight() * uncached * view.profile().prefillTokenSeconds() * load.decoding(now);
        double score =
                request.isLong() ? longScore(request, first, between) : shortScore(first, handedOver ? 0 : between);
        return new CandidateEstimate(target, first, between, cached, score + disturbance);
    }

    private boolean isHome(PrefixDigest prefix, int index) {
        int[] lane = lanes.prefill();
        return lane.length > 0 && lane[home(prefix, lane.length)] == index;
    }

    private double shortScore(double first, double between) {
        double late = Math.max(0, first - settings.safetyFactor() * settings.firstTokenGoalSeconds());
        double slow = Math.max(0, between / settings.betweenTokensGoalSeconds() - settings.safetyFactor());
        return first + settings.latenessWeight() * (late + slow);
    }

    private double longScore(RequestFeatures request, double first, double between) {
        double completion = first + request.expectedOutputTokens() * between;
        double late = Math.max(0, completion - settings.safetyFactor() * request.deadlineSeconds());
        return completion + settings.latenessWeight() * late;
    }

    /** Returns the runner of the generating lane with the shortest expected time between tokens. */
    private Optional<Target> decodeTarget(
            RequestFeatures request, Candidates candidates, int chosen, List<CandidateEstimate> estimates) {
        RunnerRole role = view.runner(estimates.get(chosen).target().name()).role();
        boolean mustSplit = role == RunnerRole.PREFILL;
        boolean inDecodeLane = lanes.decodes(candidates.indices[chosen]);
        boolean tooShort = request.expectedOutputTokens() < settings.minimumSplitOutput();
        if (!mustSplit && (inDecodeLane || !settings.split() || tooShort)) {
            return Optional.empty();
        }
        int best = -1;
        for (int i = 0; i < estimates.size(); i++) {
            boolean decodes = i != chosen && lanes.decodes(candidates.indices[i]);
            if (decodes
                    && (best < 0
                            || estimates.get(i).betweenTokensSeconds()
                                    < estimates.get(best).betweenTokensSeconds())) {
                best = i;
            }
        }
        return best < 0 ? Optional.empty() : Optional.of(estimates.get(best).target());
    }

    /** Distinct indices of targets. */
    private static final class Candidates {
        private final int[] indices = new int[MAXIMUM_CANDIDATES];
        private int count;

        void add(int index) {
            if (count == MAXIMUM_CANDIDATES) {
                return;
            }
            for (int i = 0; i < count; i++) {
                if (indices[i] == index) {
                    return;
                }
            }
            indices[count] = index;
            count++;
        }
    }
}
