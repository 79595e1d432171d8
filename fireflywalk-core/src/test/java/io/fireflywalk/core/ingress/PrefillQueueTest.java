package io.fireflywalk.core.ingress;

import static io.fireflywalk.core.ingress.TargetFixture.MILLISECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against sending prompts to a runner whose queue is longer than estimated. */
class PrefillQueueTest {
    private final PrefillQueue queue = new PrefillQueue();

    @ParameterizedTest
    @CsvSource({"4, 100", "5, 400"})
    void promptsWaitOnlyForEquallyOrMoreUrgentOnes(int priority, double expected) {
        queue.add(0, 300, 5);
        queue.add(0, 100, 4);
        assertEquals(expected, queue.waitMilliseconds(priority, 0), 1);
    }

    @Test
    void lateCompletionKeepsLaterPromptsInTheQueue() {
        queue.add(0, 100, 5);
        queue.add(10 * MILLISECOND, 200, 5);
        assertEquals(0, queue.waitMilliseconds(5, 900 * MILLISECOND), 0);
        queue.completed(0, 5, 900 * MILLISECOND);
        assertEquals(200, queue.waitMilliseconds(5, 900 * MILLISECOND), 1);
    }

    @Test
    void earlyCompletionRemovesEarlierPrompts() {
        queue.add(0, 500, 5);
        queue.add(10 * MILLISECOND, 500, 5);
        queue.completed(10 * MILLISECOND, 5, 100 * MILLISECOND);
        assertEquals(0, queue.waitMilliseconds(5, 100 * MILLISECOND), 0);
    }

    @Test
    void completionOfAnUrgentPromptKeepsLessUrgentOnes() {
        queue.add(0, 500, 5);
        queue.add(0, 20, 4);
        queue.completed(0, 4, 20 * MILLISECOND);
        assertEquals(500, queue.waitMilliseconds(5, 20 * MILLISECOND), 1);
    }
}
