package io.fireflywalk.core.routing;

import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.configuration.Target;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Selects the candidate with the best expected times. Candidates are random runners of the prefill group and of the
 * decode group and, for long prompts, the runners estimated to have the prompt's prefix cached and the affinity runner,
 * which all instances derive from the hash of the prefix. Random sampling prevents instances with the same outdated
 * reports from all selecting the same runner. The affinity runner lets instances that do not know each other's requests
 * send the same prefix to the same runner. Not thread-safe.
 *
 * <p>A request that is sent to the prefill group is split: a runner of the decode group generates the tokens, unless
 * the expected output is so short that the KV cache transfer would outweigh the benefit. A request may also run
 * entirely in the decode group; its score then includes the delay that its prefill causes to the requests that decode
 * there.
 *
 * <p>The cost of a decision does not depend on the number of targets, except for the partition into groups, which is
 * refreshed ten times a second.
 */
public final class ExpectedTimeSelector implements RunnerSelector {
    private static final int MAXIMUM_CANDIDATES = 16;
    private static final int DRAWS_PER_CANDIDATE = 3;
    private static final long JUMP_MULTIPLIER = 2_862_933_555_777_941_757L;

    private final LoadView view;
    private final PrefixCacheEstimate cacheEstimate;
    private final RoutingSettings settings;
    private final RunnerGroups groups;

    public ExpectedTimeSelector(LoadView view, PrefixCacheEstimate cacheEstimate, RoutingSettings settings) {
        this.view = view;
        this.cacheEstimate = cacheEstimate;
        this.settings = settings;
        this.groups = new RunnerGroups(view, settings);
    }

    @Override
    public Optional<RoutingDecision> select(
            RequestFeatures request, List<Target> targets, long now, RandomGenerator random) {
        groups.refresh(targets, now);
        Candidates candidates = sample(request, targets, random);
        if (candidates.count == 0) {
            addFallback(request, targets, random, candidates);
        }
        List<CandidateEstimate> estimates = new ArrayList<>(candidates.count);
        int best = -1;
        for (int i = 0; i < candidates.count; i++) {
            int index = candidates.indices[i];
            estimates.add(estimate(request, targets, index, now));
            boolean servesPrefill = view.runner(targets.get(index).name()).role() != RunnerRole.DECODE;
            if (servesPrefill
                    && (best < 0
                            || estimates.get(i).score() < estimates.get(best).score())) {
                best = i;
            }
        }
        if (best < 0) {
            return Optional.empty();
        }
        CandidateEstimate chosen = estimates.get(best);
        view.recordRouted(
                Math.round(request.promptTokens() - chosen.cachedTokens()), request.expectedOutputTokens(), now);
        Optional<Target> decodeTarget = decodeTarget(request, candidates, best, estimates);
        estimates.remove(best);
        estimates.add(0, chosen);
        return Optional.of(new RoutingDecision(chosen.target(), List.of(), estimates, decodeTarget));
    }

    /** Returns the pressure on the service's targets; an output token counts as {@code outputWeight} prompt tokens. */
    public FleetPressure pressure(List<Target> targets, double outputWeight, long now) {
        groups.refresh(targets, now);
        return FleetPressureEstimator.estimate(view, targets, groups, settings, outputWeight, now);
    }

    private Candidates sample(RequestFeatures request, List<Target> targets, RandomGenerator random) {
        Candidates candidates = new Candidates();
        int[] prefill = groups.prefill();
        if (request.isLong() && request.prefix().size() > 0) {
            addPrefixHolders(request, targets, candidates);
            if (prefill.length > 0) {
                add(request, targets, prefill[affinityIndex(request.prefix(), prefill.length)], candidates);
            }
        }
        addRandom(request, targets, prefill, random, candidates);
        addRandom(request, targets, groups.decode(), random, candidates);
        return candidates;
    }

    private void addRandom(
            RequestFeatures request, List<Target> targets, int[] group, RandomGenerator random, Candidates candidates) {
        int maximumCount = candidates.count + Math.min(settings.sampledCandidates(), group.length);
        int maximumDraws = maximumCount * DRAWS_PER_CANDIDATE;
        for (int i = 0; i < maximumDraws && candidates.count < maximumCount && group.length > 0; i++) {
            add(request, targets, group[random.nextInt(group.length)], candidates);
        }
    }

    /** Adds ejected runners: if no other runner is eligible, selecting one is better than rejecting the request. */
    private void addFallback(
            RequestFeatures request, List<Target> targets, RandomGenerator random, Candidates candidates) {
        int start = targets.isEmpty() ? 0 : random.nextInt(targets.size());
        for (int i = 0; i < targets.size() && candidates.count < settings.sampledCandidates(); i++) {
            add(request, targets, (start + i) % targets.size(), candidates);
        }
    }

    private void addPrefixHolders(RequestFeatures request, List<Target> targets, Candidates candidates) {
        List<String> holders = cacheEstimate.holdersOf(request.prefix());
        if (holders.isEmpty()) {
            return;
        }
        for (int index : groups.prefill()) {
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

    /** Jump consistent hash: if the group grows or shrinks by one runner, few prefixes are reassigned. */
    private int affinityIndex(PrefixHashes prefix, int count) {
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
        PrefixHashes prefix = request.prefix();
        double cachedTokens = prefix.size() == 0 ? 0 : cacheEstimate.cachedTokens(prefix, target.name(), view, now);
        if (cachedTokens == 0 && request.isLong() && prefix.size() > 0 && isAffinityRunner(prefix, index)) {
            cachedTokens = prefix.tokens(prefix.size() - 1) * settings.homeHitProbability();
        }
        double uncachedTokens = Math.max(1, request.promptTokens() - cachedTokens);
        double firstTokenSeconds = load.firstTokenSeconds(uncachedTokens, now) + load.stalenessPenaltySeconds(now);
        boolean isSplit = !groups.isDecode(index) && (settings.split() || load.role() == RunnerRole.PREFILL);
        double betweenTokensSeconds = load.betweenTokensSeconds(isSplit ? 0 : uncachedTokens, now);
        double interference = settings.disturbanceWeight()
                * uncachedTokens
                * view.profile().secondsPerPrefillToken()
                * load.decodingRequests(now);
        double score = request.isLong()
                ? longScore(request, firstTokenSeconds, betweenTokensSeconds)
                : shortScore(firstTokenSeconds, isSplit ? 0 : betweenTokensSeconds);
        return new CandidateEstimate(
                target, firstTokenSeconds, betweenTokensSeconds, cachedTokens, score + interference);
    }

    private boolean isAffinityRunner(PrefixHashes prefix, int index) {
        int[] group = groups.prefill();
        return group.length > 0 && group[affinityIndex(prefix, group.length)] == index;
    }

    private double shortScore(double firstTokenSeconds, double betweenTokensSeconds) {
        double lateSeconds =
                Math.max(0, firstTokenSeconds - settings.safetyFactor() * settings.firstTokenGoalSeconds());
        double slowRatio =
                Math.max(0, betweenTokensSeconds / settings.betweenTokensGoalSeconds() - settings.safetyFactor());
        return firstTokenSeconds + settings.latenessWeight() * (lateSeconds + slowRatio);
    }

    private double longScore(RequestFeatures request, double firstTokenSeconds, double betweenTokensSeconds) {
        double completionSeconds = firstTokenSeconds + request.expectedOutputTokens() * betweenTokensSeconds;
        double lateSeconds = Math.max(0, completionSeconds - settings.safetyFactor() * request.deadlineSeconds());
        return completionSeconds + settings.latenessWeight() * lateSeconds;
    }

    /** Returns the decode target of a split request: the candidate with the lowest expected time between tokens. */
    private Optional<Target> decodeTarget(
            RequestFeatures request, Candidates candidates, int chosen, List<CandidateEstimate> estimates) {
        RunnerRole role = view.runner(estimates.get(chosen).target().name()).role();
        boolean mustSplit = role == RunnerRole.PREFILL;
        boolean inDecodeGroup = groups.isDecode(candidates.indices[chosen]);
        boolean tooShort = request.expectedOutputTokens() < settings.minimumSplitOutput();
        if (!mustSplit && (inDecodeGroup || !settings.split() || tooShort)) {
            return Optional.empty();
        }
        int best = -1;
        for (int i = 0; i < estimates.size(); i++) {
            boolean decodes = i != chosen && groups.isDecode(candidates.indices[i]);
            if (decodes
                    && (best < 0
                            || estimates.get(i).betweenTokensSeconds()
                                    < estimates.get(best).betweenTokensSeconds())) {
                best = i;
            }
        }
        return best < 0 ? Optional.empty() : Optional.of(estimates.get(best).target());
    }

    /** Set of target indices. */
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
