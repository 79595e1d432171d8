package io.fireflywalk.core.ingress;

import io.fireflywalk.core.membership.RendezvousHashing;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request by estimated cost. Requests that share a prompt part prefer the same runner, found by
 * rendezvous hashing, so that all instances agree without messages. Stateless but for the random generator.
 */
public final class TargetPicker {
    /** Cost of another availability zone, in fractions of a target's slots. */
    private static final double OTHER_ZONE_COST = 0.15;
    /** Cost of a target all of whose requests fail, in fractions of its slots. */
    private static final double FAILURE_COST = 4;
    /** Random part of the cost, so that instances with the same view do not all choose the same target. */
    private static final double JITTER = 0.05;
    /** Tokens that a runner reads in a millisecond; measured on the engines' data sheet. */
    private static final double TOKENS_PER_MILLISECOND = 45;
    /** Time that a request in the queue of a runner that reads prompts stands for. */
    private static final double MILLISECONDS_PER_QUEUED_PROMPT = 110;
    /** Milliseconds by which each further rank of the hashing is less likely to have the part cached. */
    private static final double RANK_COST_MILLISECONDS = 25;
    /** Time for which a part that a runner has read is expected to stay cached. */
    private static final long PART_LIFETIME_NANOSECONDS = 15_000_000_000L;

    private final RandomGenerator random;

    public TargetPicker(RandomGenerator random) {
        this.random = random;
    }

    /** Target with the estimated cost that decided. */
    public record Choice(TargetState target, double cost, int candidates) {}

    /** Chooses by load, failures and availability zone. */
    public Optional<Choice> leastLoaded(
            Collection<TargetState> targets,
            Set<String> excluded,
            int maximumInFlight,
            String availabilityZone,
            long now) {
        TargetState best = null;
        double bestCost = Double.MAX_VALUE;
        int candidates = 0;
        for (TargetState target : targets) {
            if (!eligible(target, excluded, maximumInFlight, now)) {
                continue;
            }
            candidates++;
            double cost = target.requests(now) / Math.max(1, target.entry().slots())
                    + zoneCost(target, availabilityZone)
                    + FAILURE_COST * target.failureRate()
                    + JITTER * random.nextDouble();
            if (cost < bestCost) {
                bestCost = cost;
                best = target;
            }
        }
        return best == null ? Optional.empty() : Optional.of(new Choice(best, bestCost, candidates));
    }

    /** Chooses the runner that reads a prompt, by the estimated milliseconds until it is read. */
    public Optional<Choice> promptReader(
            Collection<TargetState> targets,
            Set<String> excluded,
            int maximumInFlight,
            RequestDescription request,
            long now) {
        String part = request.sharedPart().map(PromptPart::identifier).orElse("");
        int sharedTokens = sharedTokens(request);
        int rankOfTarget = 0;
        TargetState best = null;
        double bestCost = Double.MAX_VALUE;
        int candidates = 0;
        var ranked = targets.stream()
                .filter(target -> eligible(target, excluded, maximumInFlight, now))
                .sorted(java.util.Comparator.comparingLong((TargetState target) ->
                        RendezvousHashing.hash(target.entry().identifier() + '\n' + part)))
                .toList();
        for (TargetState target : ranked) {
            candidates++;
            boolean cached = rankOfTarget == 0 || target.hasPart(part, now - PART_LIFETIME_NANOSECONDS);
            int toRead = request.promptTokens() - (cached ? sharedTokens : 0);
            double cost = toRead / TOKENS_PER_MILLISECOND
                    + waitMilliseconds(target, now)
                    + RANK_COST_MILLISECONDS * Math.min(rankOfTarget, 2)
                    + 1000 * FAILURE_COST * target.failureRate();
            if (cost < bestCost) {
                bestCost = cost;
                best = target;
            }
            rankOfTarget++;
        }
        return best == null ? Optional.empty() : Optional.of(new Choice(best, bestCost, candidates));
    }

    /** Returns the tokens before the request's own part. */
    public static int sharedTokens(RequestDescription request) {
        int tokens = 0;
        for (int index = 0; index + 1 < request.promptParts().size(); index++) {
            tokens += request.promptParts().get(index).tokens();
        }
        return tokens;
    }

    private static double waitMilliseconds(TargetState target, long now) {
        double own = target.queuedTokens() / TOKENS_PER_MILLISECOND;
        double reported = target.requests(now) * MILLISECONDS_PER_QUEUED_PROMPT;
        return Math.max(own, reported);
    }

    private static boolean eligible(TargetState target, Set<String> excluded, int maximumInFlight, long now) {
        return target.available(now)
                && target.inFlight() < maximumInFlight
                && !excluded.contains(target.entry().identifier());
    }

    private static double zoneCost(TargetState target, String availabilityZone) {
        return target.entry().availabilityZone().equals(availabilityZone) ? 0 : OTHER_ZONE_COST;
    }
}
