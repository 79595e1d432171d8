package io.fireflywalk.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * One instance's view of the load of all runners. Bounded by the targets of the configuration, to which
 * {@link #retain} cuts it. Confined to one thread.
 */
public final class LoadView {
    /** Bound of the entries of one digest; at 64 bytes each it is 16 KB a second at one heartbeat a second. */
    public static final int MAXIMUM_DIGEST_ENTRIES = 256;

    private final RunnerProfile profile;
    private final Map<String, RunnerLoad> runners = new HashMap<>();
    private final Map<String, SentDigest.Sent> unsent = new LinkedHashMap<>();

    public LoadView(RunnerProfile profile) {
        this.profile = profile;
    }

    /** Returns the prior of the runners. */
    public RunnerProfile profile() {
        return profile;
    }

    /** Returns the estimate of a runner; one that was never seen gets the prior. */
    public RunnerLoad runner(String target) {
        RunnerLoad present = runners.get(target);
        if (present == null) {
            present = new RunnerLoad(profile);
            runners.put(target, present);
        }
        return present;
    }

    /** Forgets all runners but these. */
    public void retain(Collection<String> targets) {
        Set<String> kept = Set.copyOf(targets);
        runners.keySet().retainAll(kept);
        unsent.keySet().retainAll(kept);
    }

    /** Returns the number of runners with an estimate. */
    public int size() {
        return runners.size();
    }

    /** Counts a request that this instance sent and remembers it for the next digest. */
    public void sent(String target, long prefillTokens, long now) {
        runner(target).sent(prefillTokens, now);
        remember(target, prefillTokens);
    }

    /** Counts a request that came with its KV cache and remembers it for the next digest. */
    public void imported(String target, long now) {
        runner(target).imported(now);
        remember(target, 0);
    }

    /** Returns what was sent since the last call. */
    public SentDigest takeDigest() {
        SentDigest digest = new SentDigest(unsent.values().stream().toList());
        unsent.clear();
        return digest;
    }

    /** Takes a peer's digest. Targets that this instance does not know are skipped. */
    public void peerSent(SentDigest digest, long now) {
        for (SentDigest.Sent sent : digest.sent()) {
            RunnerLoad load = runners.get(sent.target());
            if (load != null && sent.prefillTokens() >= 0 && sent.requests() >= 0) {
                load.peerSent(sent.prefillTokens(), sent.requests(), now);
            }
        }
    }

    private void remember(String target, long prefillTokens) {
        if (unsent.size() < MAXIMUM_DIGEST_ENTRIES || unsent.containsKey(target)) {
            unsent.merge(
                    target,
                    new SentDigest.Sent(target, prefillTokens, 1),
                    (left, right) -> new SentDigest.Sent(
                            target, left.prefillTokens() + right.prefillTokens(), left.requests() + right.requests()));
        }
    }
}
