package io.fireflywalk.core.ingress;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimate of a runner's prefill queue, from the prompts that all instances are known to have sent. The runner
 * processes prompts one at a time, by priority. Completions of this instance's prompts correct the estimate, because the
 * runner's speed and the prompts of other instances are known only approximately. Not thread-safe.
 */
final class PrefillQueue {
    private static final int MAXIMUM_PROMPTS = 256;
    /** Age after which a prompt is dropped even if its completion was not observed. */
    private static final long ENTRY_LIFETIME_NANOSECONDS = 4_000_000_000L;
    /** Maximum transit time of a prompt to the runner, during which the runner's load reports do not include it. */
    private static final long TRANSIT_NANOSECONDS = 30_000_000L;

    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final Deque<Prompt> prompts = new ArrayDeque<>();
    /** Time of the last observed completion, from which the runner is assumed to process the remaining prompts. */
    private long lastCompletionAt = Long.MIN_VALUE / 2;

    private record Prompt(long queuedAt, long prefillNanoseconds, int priority) {}

    /** Adds a prompt. Lower priority numbers are processed first. */
    void add(long queuedAt, double prefillMilliseconds, int priority) {
        prompts.removeIf(prompt -> queuedAt - prompt.queuedAt() > ENTRY_LIFETIME_NANOSECONDS);
        if (prompts.size() >= MAXIMUM_PROMPTS) {
            prompts.removeFirst();
        }
        prompts.addLast(new Prompt(queuedAt, (long) (prefillMilliseconds * NANOSECONDS_PER_MILLISECOND), priority));
    }

    /** Records the completed prefill of a prompt, and so of all earlier prompts of the same or a higher priority. */
    void completed(long queuedAt, int priority, long now) {
        prompts.removeIf(prompt -> prompt.queuedAt() <= queuedAt && prompt.priority() <= priority);
        lastCompletionAt = now;
    }

    /** Removes a prompt that the runner will not process. */
    void cancelled(long queuedAt) {
        prompts.removeIf(prompt -> prompt.queuedAt() == queuedAt);
    }

    /** Records the runner's report that it has no requests. Prompts that may still be in transit are kept. */
    void reportedIdle(long now) {
        prompts.removeIf(prompt -> now - prompt.queuedAt() > TRANSIT_NANOSECONDS);
    }

    void clear() {
        prompts.clear();
    }

    /** Returns the time that a prompt of the priority would wait if it were sent now. */
    double waitMilliseconds(int priority, long now) {
        long endAt = lastCompletionAt;
        for (Prompt prompt : prompts) {
            if (prompt.priority() <= priority) {
                endAt = Math.max(endAt, prompt.queuedAt()) + prompt.prefillNanoseconds();
            }
        }
        return Math.max(0, endAt - now) / NANOSECONDS_PER_MILLISECOND;
    }
}
