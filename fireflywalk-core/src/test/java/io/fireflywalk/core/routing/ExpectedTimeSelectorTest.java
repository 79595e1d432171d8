package io.fireflywalk.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards the choice of a runner against herds, lost prefixes, and short requests behind long prompts. */
class ExpectedTimeSelectorTest {
    private static final long SECOND = 1_000_000_000L;
    private static final RoutingSettings MIXED = RoutingSettings.defaults().withSplit(false);

    private final List<Target> targets = targets(8);
    private final LoadView view = new LoadView(RunnerProfile.defaults());
    private final PrefixEstimate prefixes = new PrefixEstimate();
    private final Random random = new Random(1);

    private static List<Target> targets(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> new Target(
                        "runner-" + index,
                        "draft",
                        "127.0.0.1",
                        1,
                        "zone-" + index % 4,
                        "1",
                        TargetCharge.REGULAR,
                        OrderChecking.CHECKS_FENCING_TOKEN,
                        false))
                .toList();
    }

    private static RequestFeatures shortRequest() {
        return new RequestFeatures(600, 150, 1, 20, PrefixDigest.empty(), Set.of());
    }

    private static RequestFeatures longRequest(PrefixDigest prefix) {
        return new RequestFeatures(30_000, 300, 0, 25, prefix, Set.of());
    }

    private static void report(LoadView view, String name, int running, long tokens, long now) {
        view.runner(name)
                .reported(
                        new LoadReport(
                                "draft",
                                "1",
                                RunnerRole.MIXED,
                                running,
                                tokens > 0 ? 1 : 0,
                                tokens,
                                0.1,
                                now / 1000 + 1),
                        now);
    }

    private String choose(RoutingSettings settings, RequestFeatures request, long now) {
        return new ExpectedTimeSelector(view, prefixes, settings)
                .select(request, targets, now, random)
                .orElseThrow()
                .chosen()
                .name();
    }

    @Test
    void instancesWithTheSameOldReportDoNotAllTakeTheIdleRunner() {
        Map<String, Integer> counts = new HashMap<>();
        for (int instance = 0; instance < 90; instance++) {
            LoadView own = new LoadView(RunnerProfile.defaults());
            for (int i = 0; i < targets.size(); i++) {
                report(own, "runner-" + i, i == 0 ? 0 : 10, i == 0 ? 0 : 2_000, 0);
            }
            String chosen = new ExpectedTimeSelector(own, new PrefixEstimate(), MIXED)
                    .select(shortRequest(), targets, SECOND / 10, new SplittableRandom(instance))
                    .orElseThrow()
                    .chosen()
                    .name();
            counts.merge(chosen, 1, Integer::sum);
        }
        assertTrue(counts.get("runner-0") < 60, counts.toString());
        assertTrue(counts.size() >= 5, counts.toString());
    }

    @Test
    void longRequestGoesToItsPrefixUnlessThatRunnerIsLoaded() {
        PrefixDigest prefix = PrefixDigest.ofShared(7, 28_000);
        targets.forEach(target -> report(view, target.name(), 2, 0, 0));
        prefixes.sent(prefix, "runner-3", view, 0);
        assertEquals("runner-3", choose(MIXED, longRequest(prefix), SECOND));
        report(view, "runner-3", 2, 400_000, 2 * SECOND);
        assertNotEquals("runner-3", choose(MIXED, longRequest(prefix), 2 * SECOND));
    }

    @Test
    void instancesThatKnowNothingSendTheSamePrefixToTheSameRunner() {
        PrefixDigest prefix = PrefixDigest.ofShared(11, 28_000);
        targets.forEach(target -> report(view, target.name(), 2, 0, 0));
        String first = choose(MIXED, longRequest(prefix), SECOND);
        for (int i = 0; i < 20; i++) {
            assertEquals(first, choose(MIXED, longRequest(prefix), SECOND));
        }
    }

    @Test
    void shortRequestDoesNotQueueBehindLongPromptThatWasJustSent() {
        targets.forEach(target -> report(view, target.name(), 2, 0, 0));
        view.sent("runner-2", 30_000, SECOND / 10);
        view.sent("runner-5", 30_000, SECOND / 10);
        for (int i = 0; i < 100; i++) {
            String chosen = choose(MIXED, shortRequest(), SECOND / 10);
            assertFalse(Set.of("runner-2", "runner-5").contains(chosen), chosen);
        }
    }

    @Test
    void silentHalfIsUsedWhenTheReportingHalfIsLoaded() {
        int silent = 0;
        for (int i = 0; i < 4; i++) {
            report(view, "runner-" + i, 40, 20_000, 100 * SECOND);
        }
        for (int i = 0; i < 100; i++) {
            String chosen = choose(MIXED, shortRequest(), 100 * SECOND);
            silent += Integer.parseInt(chosen.substring("runner-".length())) >= 4 ? 1 : 0;
        }
        assertTrue(silent > 80, "silent runners chosen " + silent);
    }

    @Test
    void partitionedZoneGetsNothingUntilItIsTheLastOne() {
        targets.stream()
                .filter(target -> target.availabilityZone().equals("zone-1"))
                .forEach(target -> view.runner(target.name()).failed(0));
        for (int i = 0; i < 100; i++) {
            String chosen = choose(MIXED, shortRequest(), SECOND / 2);
            assertFalse(Set.of("runner-1", "runner-5").contains(chosen), chosen);
        }
        targets.forEach(target -> view.runner(target.name()).failed(SECOND / 2));
        assertFalse(choose(MIXED, shortRequest(), SECOND).isEmpty());
    }

    @Test
    void excludedAndLeavingTargetsAreNeverChosen() {
        List<Target> leaving = targets.stream().map(Target::leave).toList();
        ExpectedTimeSelector selector = new ExpectedTimeSelector(view, prefixes, RoutingSettings.defaults());
        assertTrue(selector.select(shortRequest(), leaving, 0, random).isEmpty());
        RequestFeatures onlyLast = new RequestFeatures(
                600,
                10,
                1,
                20,
                PrefixDigest.empty(),
                Set.copyOf(targets.subList(0, 7).stream().map(Target::name).toList()));
        assertEquals("runner-7", choose(RoutingSettings.defaults(), onlyLast, 0));
    }

    @Test
    void prefillRunnerHandsOverToDecodeRunner() {
        for (int i = 0; i < targets.size(); i++) {
            RunnerRole role = i < 3 ? RunnerRole.PREFILL : RunnerRole.DECODE;
            view.runner("runner-" + i).reported(new LoadReport("draft", "1", role, 0, 0, 0, 0.1, 1), 0);
        }
        for (int i = 0; i < 100; i++) {
            RoutingDecision decision = new ExpectedTimeSelector(view, prefixes, MIXED)
                    .select(shortRequest(), targets, SECOND, random)
                    .orElseThrow();
            assertEquals(
                    RunnerRole.PREFILL, view.runner(decision.chosen().name()).role());
            assertEquals(
                    RunnerRole.DECODE,
                    view.runner(decision.decodeTarget().orElseThrow().name()).role());
        }
    }
}
