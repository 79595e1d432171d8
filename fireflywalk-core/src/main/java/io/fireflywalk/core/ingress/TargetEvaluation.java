package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.DecisionExplanation.Candidate;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import java.util.List;
import java.util.Optional;

/**
 * Figures of all targets that a choice would be made from, without a choice and without a change of state.
 *
 * @param method how the target is chosen: {@code by_work}, {@code by_load} or {@code prompt_placement}
 * @param candidates figures of the targets; the probabilities of the eligible ones add up to 1
 * @param comparedPart probability that the expected time decides between the two most probable candidates instead of
 *     the order in which they were drawn; empty if none are drawn
 * @param placement placement with the lowest estimate before its random part; empty unless a prefill was evaluated
 */
public record TargetEvaluation(
        String method, List<Candidate> candidates, Optional<Double> comparedPart, Optional<Placement> placement) {

    public TargetEvaluation {
        candidates = List.copyOf(candidates);
    }

    /** Tells whether a target may be sent the request. */
    public boolean hasEligible() {
        return candidates.stream().anyMatch(candidate -> candidate.eligibility().equals(Eligibility.ELIGIBLE.code()));
    }
}
