package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.admission.AdmissionSettings;
import io.fireflywalk.core.admission.PlaceEstimate.Places;
import io.fireflywalk.core.admission.WaitQueue;
import io.fireflywalk.core.admission.WaitingRequest;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.ingress.DecisionExplanation.Refusal;
import io.fireflywalk.core.ingress.DecisionExplanation.Turn;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.core.quota.AccountAllowance;
import io.fireflywalk.core.quota.AccountAllowance.Outlook.Decision;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an explanation that names another decision, reason or code than a request would get. */
class DecisionExplainerTest {
    private static final RequestDescription REQUEST =
            new RequestDescription("explain", Optional.empty(), List.of(), 0, 0);
    private static final long SECOND = 1_000_000_000L;

    /** An instance with one target, whose state is given by names. */
    private record Instance(Set<String> states) implements DecisionExplainer.Outlook {
        @Override
        public boolean rejectsNewRequests() {
            return states.contains("draining");
        }

        @Override
        public Optional<AccountAllowance.Outlook> quota(String account, RequestDescription description) {
            Decision decision = states.contains("quota-used") ? Decision.REFUSED : Decision.GRANT_NEEDED;
            return states.contains("quota-used") || states.contains("quota-unknown")
                    ? Optional.of(new AccountAllowance.Outlook(decision, Duration.ofMillis(60), 2))
                    : Optional.empty();
        }

        @Override
        public Optional<Duration> quarantine(RequestDescription description) {
            return states.contains("quarantine") ? Optional.of(Duration.ofSeconds(3)) : Optional.empty();
        }

        @Override
        public Optional<WaitQueue.Evaluation> queue(
                HostRoute route, String service, Optional<String> account, RequestDescription description) {
            WaitQueue queue = new WaitQueue(AdmissionSettings.requestQueue());
            long deadline = states.contains("late") ? 0 : 3 * SECOND;
            WaitingRequest request = new WaitingRequest(1, "", 0, 0, 1, 0, 0, SECOND, SECOND, deadline, 0, SECOND / 10);
            return states.contains("full") || states.contains("late")
                    ? Optional.of(queue.evaluate(request, new Places(1, 0, 4), 0))
                    : Optional.empty();
        }

        @Override
        public TargetEvaluation placement(String service, PromptSummary prompt) {
            throw new IllegalStateException("no prompt");
        }

        @Override
        public TargetEvaluation choice(HostRoute route, String service, RequestDescription description) {
            TargetState target = TargetFixture.target(service, "zone-a", Stage.WHOLE);
            if (states.contains("leaving")) {
                target.recordLeaving();
            }
            return TargetPicker.evaluate(List.of(target), Set.of(), 8, "zone-a", 0);
        }

        @Override
        public Optional<Duration> timeUntilFirstReturn(String service) {
            return Optional.empty();
        }

        @Override
        public Duration retryAfter(ErrorKind kind, Optional<String> service, boolean refusedByQueue) {
            return Duration.ofMillis(refusedByQueue ? 250 : 1400);
        }
    }

    private static RoutingConfiguration configuration() {
        HostRoute route = new HostRoute(
                "route",
                "host",
                "/a/",
                RequestKind.IDEMPOTENT,
                false,
                false,
                Duration.ofSeconds(3),
                Duration.ofSeconds(1),
                2,
                0,
                List.of(new WeightedService("small", 1), new WeightedService("large", 3)));
        CallerLimits limits = new CallerLimits(1000, 1000, Duration.ZERO, Duration.ZERO);
        return new RoutingConfiguration(7, List.of(route), List.of(), Map.of("key", "account"), true, limits);
    }

    /** Several states at once show which of them a request meets first. */
    @ParameterizedTest
    @CsvSource({
        "/a/1, account, '', send, no_queue, '', 0, 0",
        "/b/1, account, '', refuse, not_found, unknown_route, 404, 0",
        "/a/1, '', '', refuse, missing_key, missing_key, 401, 0",
        "/a/1, account, 'draining quota-used', refuse, draining, draining, 503, 1400",
        "/a/1, account, 'quota-used quarantine', refuse, quota, quota_exceeded, 429, 60",
        "/a/1, account, 'quota-unknown', wait, quota_grant, '', 0, 0",
        "/a/1, account, 'quarantine full', refuse, prompt_quarantined, prompt_quarantined, 503, 3000",
        "/a/1, account, 'full leaving', wait, targets_full, '', 0, 0",
        "/a/1, account, 'late', refuse, deadline, deadline_unreachable, 503, 250",
        "/a/1, account, 'leaving', refuse, no_target, no_target, 503, 1400"
    })
    void explanationNamesTheDecisionOfTheFirstStepThatDoesNotPass(
            String path,
            String account,
            String states,
            String decision,
            String reason,
            String error,
            int status,
            long retryAfter) {
        Instance instance = new Instance(new HashSet<>(List.of(states.split(" "))));
        DecisionExplanation explanation = new DecisionExplainer(configuration(), instance)
                .explain("host", path, Optional.of(account).filter(name -> !name.isEmpty()), REQUEST);
        assertEquals(decision, explanation.decision());
        assertEquals(reason, explanation.reason());
        Optional<Refusal> refusal = Optional.of(
                        new Refusal(error, status, Optional.of(retryAfter).filter(time -> time > 0)))
                .filter(expected -> expected.status() > 0);
        assertEquals(refusal, explanation.refusal());
        Optional<Turn> turn = Optional.of(new Turn(
                        reason.equals("targets_full") ? 1 : 2, Optional.of(reason.equals("targets_full") ? 250L : 60L)))
                .filter(expected -> decision.equals("wait"));
        assertEquals(turn, explanation.turn());
        explanation.choice().ifPresent(choice -> {
            assertEquals(Optional.of("large"), explanation.service());
            assertEquals(
                    List.of(0.75, 0.25),
                    explanation.services().stream()
                            .map(DecisionExplanation.ServiceShare::probability)
                            .toList());
            assertEquals(states.contains("leaving") ? Optional.empty() : Optional.of("large"), choice.chosen());
        });
    }
}
