package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Takes the candidate with the best expected times among a few: a random sample, the runners that are believed to hold
 * the prompt's prefix, and for long prompts the prefix's home, a target that all instances compute alike from the hash.
 * The sample keeps instances with the same old reports from all taking the same runner; the home makes instances that
 * know nothing of each other's requests collect a prefix on one runner. The cost of a decision does not depend on the
 * number of targets. Confined to one thread.
 */
public final class ExpectedTimeSelector implements RunnerSelector {
    private static final int MAXIMUM_CANDIDATES = 12;
    private static final int DRAWS_PER_CANDIDATE = 4;

    private final LoadView view;
    private final PrefixEstimate prefixes;
    private final RoutingSettings settings;

    public ExpectedTimeSelector(LoadView view, PrefixEstimate prefixes, RoutingSettings settings) {
        this.view = view;
        this.prefixes = prefixes;
        this.settings = settings;
    }

    @Override
    public Optional<RoutingDecision> select(
            RequestFeatures request, List<Target> targets, long now, RandomGenerator random) {
        Candidates candidates = sample(request, targets, now, random);
        List<CandidateEstimate> estimates = new ArrayList<>(candidates.count);
        for (int i = 0; i < candidates.count; i++) {
            estimates.add(estimate(request, targets, candidates.indices[i], now));
        }
        int best = -1;
        for (int i = 0; i < estimates.size(); i++) {
            boolean prefills = view.runner(estimates.get(i).target().name()).role() != RunnerRole.DECODE;
            if (prefills
                    && (best < 0
                            || estimates.get(i).score() < estimates.get(best).score())) {
                best = i;
            }
        }
        if (best < 0) {
            return Optional.empty();
        }
        CandidateEstimate chosen = estimates.remove(best);
        estimates.add(0, chosen);
        return Optional.of(
                new RoutingDecision(chosen.target(), List.of(), estimates, decodeTarget(request, chosen, estimates)));
    }

    private Candidates sample(RequestFeatures request, List<Target> targets, long now, RandomGenerator random) {
        Candidates candidates = new Candidates();
        int count = targets.size();
        if (count == 0) {
            return candidates;
        }
        if (request.isLong()) {
            addHomes(request, targets, now, candidates);
        }
        int wanted = Math.min(MAXIMUM_CANDIDATES, candidates.count + settings.sampledCandidates());
        for (int draw = 0; draw < wanted * DRAWS_PER_CANDIDATE && candidates.count < wanted; draw++) {
            int index = random.nextInt(count);
            if (eligible(request, targets.get(index), now)) {
                candidates.add(index);
            }
        }
        if (candidates.count == 0) {
            addAny(request, targets, now, random, candidates);
        }
        return candidates;
    }

    /** Draws may miss the only eligible targets of a large pool, so the whole list is searched before giving up. */
    private void addAny(
            RequestFeatures request, List<Target> targets, long now, RandomGenerator random, Candidates candidates) {
        int start = random.nextInt(targets.size());
        for (int i = 0; i < targets.size() && candidates.count < settings.sampledCandidates(); i++) {
            int index = (start + i) % targets.size();
            if (eligible(request, targets.get(index), now)) {
                candidates.add(index);
            }
        }
        for (int i = 0; i < targets.size() && candidates.count == 0; i++) {
            int index = (start + i) % targets.size();
            if (permitted(request, targets.get(index))) {
                candidates.add(index);
            }
        }
    }

    private void addHomes(RequestFeatures request, List<Target> targets, long now, Candidates candidates) {
        PrefixDigest prefix = request.prefix();
        if (prefix.size() == 0) {
            return;
        }
        List<String> holders = prefixes.holdersOf(prefix);
        if (!holders.isEmpty()) {
            for (int index = 0; index < targets.size() && targets.size() <= settings.searchedTargets(); index++) {
                Target target = targets.get(index);
                if (holders.contains(target.name()) && eligible(request, target, now)) {
                    candidates.add(index);
                }
            }
        }
        for (int i = 0; i < settings.homes(); i++) {
            int index = home(prefix, i, targets.size());
            if (eligible(request, targets.get(index), now)) {
                candidates.add(index);
            }
        }
    }

    private int home(PrefixDigest prefix, int rank, int count) {
        long hash = prefix.hash(Math.min(settings.homeBoundary(), prefix.size() - 1));
        return (int) Long.remainderUnsigned(PrefixDigest.mix(hash + rank), count);
    }

    private boolean eligible(RequestFeatures request, Target target, long now) {
        return permitted(request, target) && !view.runner(target.name()).avoided(now);
    }

    private static boolean permitted(RequestFeatures request, Target target) {
        return !target.leaving() && !request.excluded().contains(target.name());
    }

    private CandidateEstimate estimate(RequestFeatures request, List<Target> targets, int index, long now) {
        Target target = targets.get(index);
        RunnerLoad load = view.runner(target.name());
        PrefixDigest prefix = request.prefix();
        double cached = prefix.size() == 0 ? 0 : prefixes.cachedTokens(prefix, target.name(), view, now);
        if (cached == 0 && request.isLong() && prefix.size() > 0 && home(prefix, 0, targets.size()) == index) {
            cached = prefix.tokens(prefix.size() - 1) * settings.homeHitProbability();
        }
        double uncached = Math.max(1, request.promptTokens() - cached);
        double first = load.firstTokenSeconds(uncached, now) + load.silencePenaltySeconds(now);
        double between = load.betweenTokensSeconds(0, now);
        double score =
                request.isLong() ? longScore(request, load, uncached, first, between, now) : shortScore(first, between);
        return new CandidateEstimate(target, first, between, cached, score);
    }

    private double shortScore(double first, double between) {
        double late = Math.max(0, first - settings.safetyFactor() * settings.firstTokenGoalSeconds());
        double slow = Math.max(0, between / settings.betweenTokensGoalSeconds() - settings.safetyFactor());
        return first + settings.latenessWeight() * (late + slow);
    }

    /** Adds the delay that the prompt causes to the requests that generate beside it to its own completion time. */
    private double longScore(
            RequestFeatures request, RunnerLoad load, double uncached, double first, double between, long now) {
        double completion = first + request.expectedOutputTokens() * between;
        double late = Math.max(0, completion - settings.safetyFactor() * request.deadlineSeconds());
        double disturbance =
                uncached * view.profile().prefillTokenSeconds() * load.generating(now) * settings.disturbanceWeight();
        return completion + settings.latenessWeight() * late + disturbance;
    }

    /** A split pays if the chosen runner would generate too slowly and another one would not, transfer included. */
    private Optional<Target> decodeTarget(
            RequestFeatures request, CandidateEstimate chosen, List<CandidateEstimate> estimates) {
        boolean mustSplit = view.runner(chosen.target().name()).role() == RunnerRole.PREFILL;
        double goal = settings.safetyFactor() * settings.betweenTokensGoalSeconds();
        if (!mustSplit && (!settings.split() || chosen.betweenTokensSeconds() <= goal || request.isLong())) {
            return Optional.empty();
        }
        double transfer = view.profile().transfer(request.promptTokens());
        double gain = request.expectedOutputTokens() * chosen.betweenTokensSeconds();
        Optional<Target> best = Optional.empty();
        double bestBetween = mustSplit ? Double.MAX_VALUE : goal;
        for (CandidateEstimate other : estimates) {
            boolean differs = !other.target().name().equals(chosen.target().name());
            boolean decodes = view.runner(other.target().name()).role() != RunnerRole.PREFILL;
            double rest = transfer + request.expectedOutputTokens() * other.betweenTokensSeconds();
            if (differs && decodes && other.betweenTokensSeconds() < bestBetween && (mustSplit || rest < gain)) {
                best = Optional.of(other.target());
                bestBetween = other.betweenTokensSeconds();
            }
        }
        return best;
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
