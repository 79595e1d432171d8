package io.fireflywalk.core.ingress;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Where a request would go now, and why. Optional figures are empty if they are not known or do not apply.
 *
 * @param configurationVersion version of the configuration in force
 * @param route name of the route
 * @param service service that the explanation is for: the one with the largest weight
 * @param services services of the route with the probability of each
 * @param decision {@code send}, {@code wait} or {@code refuse}
 * @param reason what decided
 * @param refusal what a refused caller is told
 * @param turn place of a waiting request
 * @param choice choice among the targets of the service, also for a request that would not be sent at once
 */
public record DecisionExplanation(
        long configurationVersion,
        Optional<String> route,
        Optional<String> service,
        List<ServiceShare> services,
        String decision,
        String reason,
        Optional<Refusal> refusal,
        Optional<Turn> turn,
        Optional<Choice> choice) {
    public static final String SEND = "send";
    public static final String WAIT = "wait";
    public static final String REFUSE = "refuse";

    public DecisionExplanation {
        services = List.copyOf(services);
    }

    /** A service of the route with the probability that a request goes to it. */
    public record ServiceShare(String service, double probability) {}

    /**
     * What a refused caller is told.
     *
     * @param retryAfterMilliseconds value of {@code Retry-After}, before its random part
     */
    public record Refusal(String error, int status, Optional<Long> retryAfterMilliseconds) {}

    /** Place of a waiting request: its position, of which 1 is the first, and the expected time until its turn. */
    public record Turn(int position, Optional<Long> expectedMilliseconds) {}

    /**
     * Choice among targets.
     *
     * @param method how the target is chosen: {@code by_work}, {@code by_load} or {@code prompt_placement}
     * @param randomised true if more than one target may be chosen
     * @param comparedPart probability that the expected time decides between the two most probable candidates, instead of
     *     the order in which they were drawn
     * @param chosen most probable target
     * @param runnerUp second most probable target
     * @param candidates all targets of the service, the most probable first
     */
    public record Choice(
            String method,
            boolean randomised,
            Optional<Double> comparedPart,
            Optional<String> chosen,
            Optional<String> runnerUp,
            List<Candidate> candidates) {

        public Choice {
            candidates = List.copyOf(candidates);
        }

        static Choice of(TargetEvaluation evaluation) {
            List<Candidate> candidates = evaluation.candidates().stream()
                    .sorted(Comparator.comparingDouble(Candidate::probability)
                            .reversed()
                            .thenComparing(Candidate::target))
                    .toList();
            List<String> possible = candidates.stream()
                    .filter(candidate -> candidate.probability() > 0)
                    .map(Candidate::target)
                    .toList();
            return new Choice(
                    evaluation.method(),
                    possible.size() > 1,
                    evaluation.comparedPart(),
                    possible.stream().findFirst(),
                    possible.stream().skip(1).findFirst(),
                    candidates);
        }
    }

    /**
     * A target with the figures that the choice depends on.
     *
     * @param eligibility {@code eligible}, or why the target may not be sent the request
     * @param probability weight in the random choice as a part of all weights; 0 if the target cannot be chosen
     * @param cost cost in the choice by load
     * @param expectedMilliseconds expected time of the request, or to the first token for a prompt, with all penalties
     * @param requests expected number of requests at the target
     * @param workMilliseconds expected time of the work that the target still has to do, at the usual speed
     * @param speed speed relative to the usual one
     * @param reportAgeMilliseconds age of the latest load report
     */
    public record Candidate(
            String target,
            String availabilityZone,
            String stage,
            String eligibility,
            double probability,
            Optional<Double> cost,
            Optional<Double> expectedMilliseconds,
            double requests,
            Optional<Double> workMilliseconds,
            Optional<Double> speed,
            Optional<Double> reportAgeMilliseconds) {

        static Candidate of(
                TargetState target,
                Eligibility eligibility,
                double probability,
                Optional<Double> cost,
                Optional<Double> expectedMilliseconds,
                Optional<ServiceLoad> load,
                long now) {
            TargetWork work = target.work();
            double requests =
                    load.map(known -> known.requests(target, now)).orElseGet(() -> target.estimatedRequests(now));
            return new Candidate(
                    target.entry().identifier(),
                    target.entry().availabilityZone(),
                    target.entry().stage().name().toLowerCase(Locale.ROOT),
                    eligibility.code(),
                    probability,
                    cost,
                    expectedMilliseconds,
                    requests,
                    load.map(known -> work.workMilliseconds(requests, known.serviceMilliseconds())),
                    load.map(known -> 1 / work.timeFactor(known.meanSlowdown(), now)),
                    Optional.of(work.reportAgeMilliseconds(now)).filter(Double::isFinite));
        }
    }
}
