package io.fireflywalk.core.ingress;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * End of a target's process, with the prompts that it had not begun to answer.
 *
 * @param target identifier of the target
 * @param startedAtMilliseconds start time of the process that ended; a later process of the target has another one
 * @param prompts parts of each prompt that had no whole event of its answer yet; the last is the request's own
 */
public record TargetCrash(String target, long startedAtMilliseconds, List<List<String>> prompts) {

    public TargetCrash {
        prompts = prompts.stream().map(List::copyOf).toList();
    }

    /** Returns the parts that only repeats of the same requests have as well. */
    public Set<String> ownParts() {
        return prompts.stream()
                .filter(parts -> !parts.isEmpty())
                .map(parts -> parts.get(parts.size() - 1))
                .collect(Collectors.toSet());
    }

    /** Returns the process that ended. */
    public TargetRun run() {
        return new TargetRun(target, startedAtMilliseconds);
    }
}
