package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Targets and requests for tests. */
final class TargetFixture {
    static final long MILLISECOND = 1_000_000L;

    private TargetFixture() {}

    static TargetState target(String identifier, String zone, Stage stage) {
        return new TargetState(entry(identifier, zone, stage, false, false), () -> 330_000);
    }

    static TargetEntry entry(String identifier, String zone, Stage stage, boolean leaving, boolean preemptible) {
        return new TargetEntry(identifier, "service", "10.0.0.1", 80, zone, 8, leaving, preemptible, stage, 1, 1);
    }

    static PromptSummary prompt(String part, int sharedTokens, int ownTokens) {
        return new RequestDescription(
                        "attempt",
                        Optional.of(Duration.ofSeconds(6)),
                        List.of(new PromptPart(part, sharedTokens), new PromptPart("own", ownTokens)),
                        sharedTokens + ownTokens,
                        100)
                .summary(5);
    }
}
