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

/** Guards against herding, missed prefix cache hits, and short requests queued behind long prompts. */
class ExpectedTimeSelectorTest {
    private static final long SECOND = 1_000_000_000L;
    private static final RoutingSettings WITHOUT_SPLIT =
            RoutingSettings.defaults().withSplit(false);

    private final List<Target> targets = targets(8);
    private final LoadView view = new LoadView(RunnerProfile.defaults());
    private final PrefixCacheEstimate cacheEstimate = new PrefixCacheEstimate();
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
        return new RequestFeatures(600, 150, 1, 20, PrefixHashes.empty(), Set.of());
    }

    private static RequestFeatures longRequest(PrefixHashes prefix) {
        return new RequestFeatures(30_000, 300, 0, 25, prefix, Set.of());
    }

    private static void report(LoadView view, String name, int running, long tokens, long now) {
        view.runner(name)
                .recordReport(
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

    private String select(RoutingSettings settings, RequestFeatures request, long now) {
        return new ExpectedTimeSelector(view, cacheEstimate, settings)
                .select(request, targets, now, random)
                .orElseThrow()
                .chosen()
                .name();
    }

    @Test
    void instancesWithSameOutdatedReportsDoNotAllSelectIdleRunner() {
        Map<String, Integer> selections = new HashMap<>();
        for (int instance = 0; instance < 90; instance++) {
            LoadView instanceView = new LoadView(RunnerProfile.defaults());
            for (int i = 0; i < targets.size(); i++) {
                report(instanceView, "runner-" + i, i == 0 ? 0 : 10, i == 0 ? 0 : 2_000, 0);
            }
            String chosen = new ExpectedTimeSelector(instanceView, new PrefixCacheEstimate(), WITHOUT_SPLIT)
                    .select(shortRequest(), targets, SECOND / 10, new SplittableRandom(instance))
                    .orElseThrow()
                    .chosen()
                    .name();
            selections.merge(chosen, 1, Integer::sum);
        }
        assertTrue(selections.get("runner-0") < 60, selections.toString());
        assertTrue(selections.size() >= 5, selections.toString());
    }

    @Test
    void longRequestIsSentToPrefixHolderUnlessOverloaded() {
        PrefixHashes prefix = PrefixHashes.ofSimulatedPrefix(7, 28_000);
        targets.forEach(target -> report(view, target.name(), 2, 0, 0));
        cacheEstimate.recordSent(prefix, "runner-3", view, 0);
        assertEquals("runner-3", select(WITHOUT_SPLIT, longRequest(prefix), SECOND));
        report(view, "runner-3", 2, 400_000, 2 * SECOND);
        assertNotEquals("runner-3", select(WITHOUT_SPLIT, longRequest(prefix), 2 * SECOND));
    }

    @Test
    void samePrefixIsSentToSameRunnerWithoutSharedKnowledge() {
        PrefixHashes prefix = PrefixHashes.ofSimulatedPrefix(11, 28_000);
        targets.forEach(target -> report(view, target.name(), 2, 0, 0));
        String first = select(WITHOUT_SPLIT, longRequest(prefix), SECOND);
        for (int i = 0; i < 20; i++) {
            assertEquals(first, select(WITHOUT_SPLIT, longRequest(prefix), SECOND));
        }
    }

    @Test
    void shortRequestIsNotQueuedBehindLongPromptJustSent() {
        targets.forEach(target -> report(view, target.name(), 2, 0, 0));
        view.recordSent("runner-2", 30_000, SECOND / 10);
        view.recordSent("runner-5", 30_000, SECOND / 10);
        for (int i = 0; i < 100; i++) {
            String chosen = select(WITHOUT_SPLIT, shortRequest(), SECOND / 10);
            assertFalse(Set.of("runner-2", "runner-5").contains(chosen), chosen);
        }
    }

    @Test
    void runnersWithoutReportsAreUsedWhenReportingOnesAreLoaded() {
        int nonReporting = 0;
        for (int i = 0; i < 4; i++) {
            report(view, "runner-" + i, 40, 20_000, 100 * SECOND);
        }
        for (int i = 0; i < 100; i++) {
            String chosen = select(WITHOUT_SPLIT, shortRequest(), 100 * SECOND);
            nonReporting += Integer.parseInt(chosen.substring("runner-".length())) >= 4 ? 1 : 0;
        }
        assertTrue(nonReporting > 80, "runners without reports selected " + nonReporting);
    }

    @Test
    void ejectedZoneIsUsedOnlyWhenAllZonesAreEjected() {
        targets.stream()
                .filter(target -> target.availabilityZone().equals("zone-1"))
                .forEach(target -> view.runner(target.name()).recordFailure(0));
        for (int i = 0; i < 100; i++) {
            String chosen = select(WITHOUT_SPLIT, shortRequest(), SECOND / 2);
            assertFalse(Set.of("runner-1", "runner-5").contains(chosen), chosen);
        }
        targets.forEach(target -> view.runner(target.name()).recordFailure(SECOND / 2));
        assertFalse(select(WITHOUT_SPLIT, shortRequest(), SECOND).isEmpty());
    }

    @Test
    void excludedAndLeavingTargetsAreNeverSelected() {
        List<Target> leavingTargets = targets.stream().map(Target::asLeaving).toList();
        ExpectedTimeSelector selector = new ExpectedTimeSelector(view, cacheEstimate, RoutingSettings.defaults());
        assertTrue(selector.select(shortRequest(), leavingTargets, 0, random).isEmpty());
        RequestFeatures allButLastExcluded = new RequestFeatures(
                600,
                10,
                1,
                20,
                PrefixHashes.empty(),
                Set.copyOf(targets.subList(0, 7).stream().map(Target::name).toList()));
        assertEquals("runner-7", select(RoutingSettings.defaults(), allButLastExcluded, 0));
    }

    @Test
    void requestOnPrefillRunnerIsSplitToDecodeRunner() {
        for (int i = 0; i < targets.size(); i++) {
            RunnerRole role = i < 3 ? RunnerRole.PREFILL : RunnerRole.DECODE;
            view.runner("runner-" + i).recordReport(new LoadReport("draft", "1", role, 0, 0, 0, 0.1, 1), 0);
        }
        for (int i = 0; i < 100; i++) {
            RoutingDecision decision = new ExpectedTimeSelector(view, cacheEstimate, WITHOUT_SPLIT)
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
