package io.fireflywalk.core.ingress;

import static io.fireflywalk.core.ingress.TargetFixture.MILLISECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.PromptPartQuarantine.QuarantinedPart;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against prompt parts that end runner after runner, and against sound parts that are refused with them. */
class PromptPartQuarantineTest {
    private static final Optional<String> OWN = Optional.empty();
    private static final long SECOND = 1000 * MILLISECOND;

    private final PromptPartQuarantine quarantine = new PromptPartQuarantine();

    private static TargetCrash crash(int target, String... prompts) {
        List<List<String>> parts = new ArrayList<>();
        for (String prompt : prompts) {
            parts.add(List.of(prompt.split(" ", -1)));
        }
        return new TargetCrash("target-" + target, 1, parts);
    }

    private void crash(int target, long now, String... prompts) {
        var unused = quarantine.recordCrash(crash(target, prompts), OWN, now);
    }

    private boolean refuses(String prompt) {
        return quarantine.refusalOf(List.of(prompt.split(" ", -1))).isPresent();
    }

    /** Steps: a prompt of a crash a second, or an answer if it begins with a plus sign. */
    @ParameterizedTest
    @CsvSource({
        "'x', x, false",
        "'x,x', x, false",
        "'x,x,x', x, true",
        "'x,+x,x,x', x, false",
        "'x,x,+x,x,x', x, true",
        "'x,x,x,+x', x, false",
        "'a x,b x,c x', x, true",
        "'a x,b x,c x', a, false",
        "'a x,a x,a x', a b, false",
        "'a x,a x,a x', a x, true",
        "'a x,a x,a x', x, false",
        "'a x,a x,a x,+a b', c x, true",
        "'a x,a x,a x,c x', d x, true",
        // A request that a client repeats, between sound ones with its shared part.
        "'a own,+a b,a own,+a c,a own', a own, true",
        "'a own,+a b,a own,+a c,a own', a d, false",
        "'a own,a own,a own', a d, false"
    })
    void requestsAreRefusedForWhatAllCrashesHaveInCommon(String steps, String request, boolean refused) {
        int step = 0;
        for (String each : steps.split(",", -1)) {
            step++;
            if (each.startsWith("+")) {
                var unused = quarantine.recordAnswer(List.of(each.substring(1).split(" ", -1)));
            } else {
                crash(step, step * SECOND, each);
            }
        }
        assertEquals(refused, refuses(request));
    }

    @ParameterizedTest
    @CsvSource({
        // Reports of one crash by several instances count once.
        "1, 1, 1, 1000, false",
        // Targets that end together, as in the loss of a zone, count once.
        "1, 2, 3, 50, false",
        "1, 2, 3, 400, true",
        // Crashes that lie far apart do not add up.
        "1, 2, 3, 61000, false"
    })
    void crashesCountIfTheyAreDistinct(int first, int second, int third, long millisecondsApart, boolean refused) {
        crash(first, SECOND, "x own-1");
        crash(second, SECOND + millisecondsApart * MILLISECOND, "x own-2");
        crash(third, SECOND + 2 * millisecondsApart * MILLISECOND, "x own-3");
        assertEquals(refused, refuses("x"));
    }

    @ParameterizedTest
    @CsvSource({"1, true", "50, true", "61000, false"})
    void repeatsOfOneRequestCountHoweverSoonTheyFollow(int millisecondsApart, boolean refused) {
        for (int target = 1; target <= 3; target++) {
            crash(target, SECOND + (long) target * millisecondsApart * MILLISECOND, "x own");
        }
        assertEquals(refused, refuses("x own"));
        assertFalse(refuses("x other"));
    }

    @ParameterizedTest
    @CsvSource({"1, false", "2, true"})
    void reportsOfOneOtherInstanceDoNotQuarantineAPart(int reporters, boolean refused) {
        for (int crash = 0; crash < 40; crash++) {
            var unused = quarantine.recordCrash(
                    crash(crash, "x"), Optional.of("instance-" + crash % reporters), crash * SECOND);
        }
        assertEquals(refused, refuses("x"));
    }

    @Test
    void severalPartsAreQuarantinedApartAndReleasedApart() {
        for (int step = 0; step < 3; step++) {
            crash(step, step * SECOND, "x", "y");
        }
        assertTrue(refuses("x") && refuses("y"));
        assertEquals(List.of("x"), quarantine.recordAnswer(List.of("x")).released());
        assertFalse(refuses("x"));
        assertTrue(refuses("y"));
        assertEquals(1, quarantine.size());
        assertTrue(quarantine.release("y"));
        assertFalse(quarantine.release("y"));
        assertEquals(0, quarantine.size());
    }

    @Test
    void partThatEndsSomeTargetsOnlyIsQuarantinedOnceCrashesOutnumberAnswers() {
        int crashes = 0;
        Random random = new Random(1);
        while (!refuses("x")) {
            crashes++;
            crash(crashes, crashes * SECOND, "x");
            if (random.nextInt(4) == 0 && !refuses("x")) {
                var unused = quarantine.recordAnswer(List.of("x"));
            }
        }
        assertTrue(crashes < 20, "crashes " + crashes);
    }

    @Test
    void manyPartsThatAreAskedForOnceTakeNoRoomFromQuarantinedOnes() {
        for (int step = 0; step < 3; step++) {
            crash(step, step * MILLISECOND * 300, "x");
        }
        for (int part = 0; part < 10_000; part++) {
            crash(10 + part, SECOND + part, "part-" + part);
        }
        assertTrue(refuses("x"));
        assertEquals(1, quarantine.size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "a b", "line\n", "\u00e9"})
    void partsThatCannotBeStoredAreNotTracked(String part) {
        assertFalse(PromptPartQuarantine.trackable(part));
        for (int step = 0; step < 5; step++) {
            var unused = quarantine.recordCrash(
                    new TargetCrash("target-" + step, 1, List.of(List.of(part, "x".repeat(65)))), OWN, step * SECOND);
        }
        assertEquals(0, quarantine.size());
    }

    @Test
    void partFoundByAnotherInstanceIsRefusedUntilItIsReleased() {
        assertTrue(quarantine.quarantine(new QuarantinedPart("x", Set.of("a")), SECOND));
        assertFalse(quarantine.quarantine(new QuarantinedPart("x", Set.of("a")), SECOND));
        assertTrue(refuses("a x"));
        assertFalse(refuses("b x"));
        crash(1, 2 * SECOND, "b x");
        assertTrue(refuses("c x"));
    }

    /** A request that has been sent to a runner and is not answered yet. */
    private record Waiting(List<String> parts, long sentAt) {}

    /**
     * Plays incidents of the measured size: 63 shared parts, 10 requests a second of which 1 in 20 is deadly, 8 runners, and
     * half a second from the sending of a request to its answer.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void soundPartsAreHardlyEverRefusedAndTheDeadlyOneSoonIs(long seed) {
        Random random = new Random(seed);
        int refusedSound = 0;
        int sound = 0;
        for (int incident = 0; incident < 20; incident++) {
            PromptPartQuarantine each = new PromptPartQuarantine();
            List<List<Waiting>> runners = new ArrayList<>();
            for (int runner = 0; runner < 8; runner++) {
                runners.add(new ArrayList<>());
            }
            int crashes = 0;
            long fifthCrashAt = Long.MAX_VALUE / 2;
            int sentLate = 0;
            for (int request = 0; request < 220; request++) {
                long now = request * 100L * MILLISECOND;
                boolean deadly = random.nextInt(20) == 0;
                List<String> parts = List.of(deadly ? "deadly" : "part-" + random.nextInt(63), "own-" + request);
                boolean refused = each.refusalOf(parts).isPresent();
                sound += deadly ? 0 : 1;
                refusedSound += !deadly && refused ? 1 : 0;
                if (!refused) {
                    sentLate += deadly && now > fifthCrashAt + 3 * SECOND ? 1 : 0;
                    runners.get(random.nextInt(8)).add(new Waiting(parts, now));
                }
                for (List<Waiting> runner : runners) {
                    crashes += serve(each, runner, "target-" + request, now) ? 1 : 0;
                }
                fifthCrashAt = crashes >= 5 ? Math.min(fifthCrashAt, now) : fifthCrashAt;
            }
            // Three are allowed later than three seconds after the fifth crash.
            assertTrue(sentLate <= 3, sentLate + " deadly requests sent late");
        }
        assertTrue(refusedSound * 100 < sound, refusedSound + " of " + sound + " sound requests refused");
    }

    /** Answers the requests of a runner that are due; returns true if one of them ends it. */
    private static boolean serve(PromptPartQuarantine quarantine, List<Waiting> runner, String target, long now) {
        while (!runner.isEmpty() && now - runner.get(0).sentAt() >= SECOND / 2) {
            if (runner.get(0).parts().contains("deadly")) {
                List<List<String>> prompts = runner.stream().map(Waiting::parts).toList();
                var unused = quarantine.recordCrash(new TargetCrash(target, 1, prompts), OWN, now);
                runner.clear();
                return true;
            }
            var unused = quarantine.recordAnswer(runner.remove(0).parts());
        }
        return false;
    }
}
