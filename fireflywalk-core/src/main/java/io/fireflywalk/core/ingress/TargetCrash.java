package io.fireflywalk.core.ingress;

import java.util.List;

/**
 * End of a target's process, with the prompts that it had not begun to answer.
 *
 * @param target identifier of the target
 * @param startedAtMilliseconds start time of the process that ended; a later process of the target has another one
 * @param prompts shared parts of each prompt that had no whole event of its answer yet
 */
public record TargetCrash(String target, long startedAtMilliseconds, List<List<String>> prompts) {

    public TargetCrash {
        prompts = prompts.stream().map(List::copyOf).toList();
    }

    /** Returns the process that ended. */
    public TargetRun run() {
        return new TargetRun(target, startedAtMilliseconds);
    }
}
