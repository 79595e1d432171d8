package io.fireflywalk.core.ingress;

import static io.fireflywalk.core.ingress.TargetFixture.MILLISECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against long prompts that wait for KV caches on slow links while other runners have fast ones. */
class TransferDelayTest {
    private static final PromptSummary PROMPT = TargetFixture.prompt("part", 13_000, 3_700);
    private static final int SLOW_RUNNERS = 7;
    private static final int RUNNERS = 28;

    private final Random random = new Random(3);
    private final List<TargetState> prefill = runners("prefill", Stage.PREFILL);
    private final List<TargetState> decode = runners("decode", Stage.DECODE);

    private static List<TargetState> runners(String name, Stage stage) {
        return IntStream.range(0, RUNNERS)
                .mapToObj(number -> TargetFixture.target(name + number, "zone-a", stage))
                .toList();
    }

    /** Transfers between random runners, of which the first ones have links that take 600 ms longer. */
    private long transfer(int seconds, int rate, boolean slowLinks) {
        long now = 0;
        for (int number = 0; number < seconds * rate; number++) {
            now = number * 1000L / rate * MILLISECOND;
            int source = random.nextInt(RUNNERS);
            int destination = random.nextInt(RUNNERS);
            boolean slow = slowLinks && (source < SLOW_RUNNERS || destination < SLOW_RUNNERS);
            double delay = slow ? 600 : 20;
            if (TransferDelay.isNotable(prefill.get(source), decode.get(destination), delay, now)) {
                TransferDelay.record(prefill.get(source), decode.get(destination), delay, now);
            }
        }
        return now;
    }

    @ParameterizedTest
    @CsvSource({"40", "130"})
    void runnersWithSlowLinksAreToldFromTheirPartners(int transfersPerSecond) {
        long now = transfer(4, transfersPerSecond, true);
        for (List<TargetState> stage : List.of(prefill, decode)) {
            double slow = meanDelay(stage.subList(0, SLOW_RUNNERS), now);
            double usual = meanDelay(stage.subList(SLOW_RUNNERS, RUNNERS), now);
            assertTrue(slow > 250, "slow runners " + slow);
            assertTrue(usual < 80, "other runners " + usual);
        }
    }

    private static double meanDelay(List<TargetState> runners, long now) {
        return runners.stream()
                .mapToDouble(runner -> runner.transferDelayMilliseconds(now))
                .average()
                .orElseThrow();
    }

    @Test
    void runnerIsUsedAgainOnceItsLinkIsFast() {
        long now = transfer(4, 40, true) + 8_000 * MILLISECOND;
        assertTrue(meanDelay(prefill, now) < TransferDelay.NOTABLE_MILLISECONDS);
        assertEquals(0, new TransferDelay().milliseconds(now));
    }

    @Test
    void prefillAndItsSourceAvoidSlowLinks() {
        TargetState slow = prefill.get(0);
        TargetState holder = prefill.get(1);
        TargetState fast = prefill.get(2);
        slow.recordPrefillQueued(PROMPT, 0, 0);
        holder.recordPrefillQueued(PROMPT, 0, 0);
        fast.recordPrefillQueued(PROMPT, 0, 0);
        holder.recordPrefillQueued(TargetFixture.prompt("other", 13_000, 3_700), 1000, MILLISECOND);
        for (int number = 0; number < 5; number++) {
            TransferDelay.record(slow, decode.get(number), 600, MILLISECOND);
        }
        PromptPlacement placement = new PromptPlacement(RunnerLatencyModel.defaults(), new Random(1));
        List<TargetState> candidates = List.of(slow, holder, fast, decode.get(9));
        Placement chosen = placement
                .choose(candidates, Set.of(), 10, PROMPT, "zone-a", 2 * MILLISECOND)
                .orElseThrow();
        assertEquals(fast, chosen.target());
        Placement fetching = placement
                .choose(
                        List.of(slow, holder, prefill.get(3), decode.get(9)),
                        Set.of(),
                        10,
                        PROMPT,
                        "zone-a",
                        2 * MILLISECOND)
                .orElseThrow();
        assertEquals(Optional.of(holder), fetching.fetchFrom());
    }

    /** A slow link delays only requests whose KV cache is fetched. */
    @ParameterizedTest
    @CsvSource({"true, 0, 0.1", "false, 0.25, 0.45"})
    void decodeRunnerWithASlowLinkGetsPromptsThatNeedNoTransfer(boolean prefilled, double least, double most) {
        List<TargetState> candidates = decode.subList(0, 3);
        for (int number = 0; number < 5; number++) {
            TransferDelay.record(prefill.get(number), candidates.get(0), 600, 0);
        }
        WorkBasedPicker picker = new WorkBasedPicker(random);
        RequestCost cost = new RequestCost("route", "service", 100, 100, prefilled);
        long chosen = IntStream.range(0, 1000)
                .filter(number ->
                        picker.choose(candidates, Set.of(), 64, "zone-a", new ServiceLoad(), cost, false, MILLISECOND)
                                        .orElseThrow()
                                        .target()
                                == candidates.get(0))
                .count();
        assertTrue(chosen >= 1000 * least && chosen <= 1000 * most, chosen + " of 1000");
    }
}
