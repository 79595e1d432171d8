package io.fireflywalk.operator.cli;

import io.fireflywalk.core.ingress.DecisionExplanation;
import io.fireflywalk.core.ingress.DecisionExplanation.Candidate;
import io.fireflywalk.core.ingress.DecisionExplanation.Choice;
import io.fireflywalk.core.ingress.DecisionExplanation.Refusal;
import io.fireflywalk.core.ingress.DecisionExplanation.Turn;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** Renders an explanation: one line for the decision, one for the choice, and one for each candidate. Stateless. */
final class ExplanationText {
    private static final String UNKNOWN = "-";
    private static final List<String> COLUMNS = List.of(
            "TARGET",
            "ROLE",
            "PROBABILITY",
            "ZONE",
            "STAGE",
            "ELIGIBILITY",
            "EXPECTED MS",
            "COST",
            "REQUESTS",
            "WORK MS",
            "SPEED",
            "REPORT AGE MS");

    private ExplanationText() {}

    static String render(DecisionExplanation explanation) {
        StringBuilder text = new StringBuilder(String.format(
                "decision=%s reason=%s route=%s service=%s configuration=%d",
                explanation.decision(),
                explanation.reason(),
                explanation.route().orElse(UNKNOWN),
                explanation.service().orElse(UNKNOWN),
                explanation.configurationVersion()));
        explanation.refusal().map(ExplanationText::refusalFields).ifPresent(text::append);
        explanation.turn().map(ExplanationText::turnFields).ifPresent(text::append);
        if (explanation.services().size() > 1) {
            text.append(explanation.services().stream()
                    .map(share -> share.service() + ':' + format("%.2f", Optional.of(share.probability())))
                    .collect(Collectors.joining(",", " services=", "")));
        }
        text.append(System.lineSeparator());
        explanation.choice().ifPresent(choice -> {
            text.append(String.format(
                    "choice=%s randomised=%s chosen=%s runner_up=%s compared=%s%n",
                    choice.method(),
                    choice.randomised(),
                    choice.chosen().orElse(UNKNOWN),
                    choice.runnerUp().orElse(UNKNOWN),
                    format("%.2f", choice.comparedPart())));
            text.append(OutputTable.render(
                    COLUMNS,
                    choice.candidates().stream()
                            .map(candidate -> cells(choice, candidate))
                            .toList()));
        });
        return text.toString();
    }

    private static String refusalFields(Refusal refusal) {
        return String.format(
                " error=%s status=%d retry_after_ms=%s",
                refusal.error(),
                refusal.status(),
                refusal.retryAfterMilliseconds().map(String::valueOf).orElse(UNKNOWN));
    }

    private static String turnFields(Turn turn) {
        return String.format(
                " position=%d expected_turn_ms=%s",
                turn.position(),
                turn.expectedMilliseconds().map(String::valueOf).orElse(UNKNOWN));
    }

    private static List<String> cells(Choice choice, Candidate candidate) {
        Optional<String> target = Optional.of(candidate.target());
        String role =
                target.equals(choice.chosen()) ? "chosen" : target.equals(choice.runnerUp()) ? "runner-up" : UNKNOWN;
        return List.of(
                candidate.target(),
                role,
                format("%.3f", Optional.of(candidate.probability())),
                candidate.availabilityZone(),
                candidate.stage(),
                candidate.eligibility(),
                format("%.0f", candidate.expectedMilliseconds()),
                format("%.3f", candidate.cost()),
                format("%.1f", Optional.of(candidate.requests())),
                format("%.0f", candidate.workMilliseconds()),
                format("%.2f", candidate.speed()),
                format("%.0f", candidate.reportAgeMilliseconds()));
    }

    private static String format(String pattern, Optional<Double> figure) {
        return figure.map(value -> String.format(Locale.ROOT, pattern, value)).orElse(UNKNOWN);
    }
}
