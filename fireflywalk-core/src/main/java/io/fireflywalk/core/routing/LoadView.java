package io.fireflywalk.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimated load of all runners as seen by one instance. Call {@link #retain} with the configured targets to bound its
 * size. Not thread-safe.
 */
public final class LoadView {
    /** Limits the sent load to 16 KB, at 64 bytes per entry; it is sent per heartbeat, that is, once per second. */
    public static final int MAXIMUM_SENT_LOAD_ENTRIES = 256;

    private static final double NANOSECONDS_PER_SECOND = 1e9;
    /** Time constant of the exponential decay of the recent prompt and output tokens. */
    private static final double RECENT_DECAY_SECONDS = 5;

    private final RunnerProfile profile;
    private final Map<String, RunnerLoad> runners = new HashMap<>();
    private final Map<String, SentLoad.TargetWork> pendingEntries = new LinkedHashMap<>();
    private long pendingPrefillTokens;
    private long pendingOutputTokens;
    private double recentPrefillTokens;
    private double recentOutputTokens;
    private long recentUpdatedAt;

    public LoadView(RunnerProfile profile) {
        this.profile = profile;
    }

    /** Returns the assumed speed of all runners. */
    public RunnerProfile profile() {
        return profile;
    }

    /** Returns the estimate of a runner; creates one from the profile if there is none. */
    public RunnerLoad runner(String target) {
        RunnerLoad existing = runners.get(target);
        if (existing == null) {
            existing = new RunnerLoad(profile);
            runners.put(target, existing);
        }
        return existing;
    }

    /** Removes the estimates of runners that are not among the targets. */
    public void retain(Collection<String> targets) {
        Set<String> retained = Set.copyOf(targets);
        runners.keySet().retainAll(retained);
        pendingEntries.keySet().retainAll(retained);
    }

    /** Returns the number of runners with an estimate. */
    public int size() {
        return runners.size();
    }

    /** Records a request that this instance sent, and adds it to the next sent load. */
    public void recordSent(String target, long prefillTokens, long now) {
        runner(target).recordSent(prefillTokens, now);
        addToSentLoad(target, prefillTokens);
    }

    /** Records a decode request whose KV cache the runner imports, and adds it to the next sent load. */
    public void recordImported(String target, long now) {
        runner(target).recordImported(now);
        addToSentLoad(target, 0);
    }

    /** Records the expected work of a request that this instance routed. */
    public void recordRouted(long prefillTokens, long outputTokens, long now) {
        pendingPrefillTokens += Math.max(0, prefillTokens);
        pendingOutputTokens += Math.max(0, outputTokens);
        addRecentTokens(prefillTokens, outputTokens, now);
    }

    /** Returns the recent prefill work, in seconds of a runner that does nothing else. */
    public double prefillWorkSeconds(long now) {
        addRecentTokens(0, 0, now);
        return recentPrefillTokens / profile.prefillTokensPerSecond(0);
    }

    /** Returns the recent decode work, in seconds of a runner that just meets the goal for the time between tokens. */
    public double decodeWorkSeconds(double betweenTokensGoalSeconds, long now) {
        addRecentTokens(0, 0, now);
        return recentOutputTokens
                * betweenTokensGoalSeconds
                / profile.maximumDecodingRequests(betweenTokensGoalSeconds);
    }

    /** Returns the work sent since the last call. */
    public SentLoad drainSentLoad() {
        SentLoad sentLoad =
                new SentLoad(pendingEntries.values().stream().toList(), pendingPrefillTokens, pendingOutputTokens);
        pendingEntries.clear();
        pendingPrefillTokens = 0;
        pendingOutputTokens = 0;
        return sentLoad;
    }

    /** Records the work in a peer's sent load; targets without an estimate and negative values are ignored. */
    public void recordPeerLoad(SentLoad sentLoad, long now) {
        if (sentLoad.prefillTokens() >= 0 && sentLoad.outputTokens() >= 0) {
            addRecentTokens(sentLoad.prefillTokens(), sentLoad.outputTokens(), now);
        }
        for (SentLoad.TargetWork sent : sentLoad.sent()) {
            RunnerLoad load = runners.get(sent.target());
            if (load != null && sent.prefillTokens() >= 0 && sent.requests() >= 0) {
                load.recordPeerSent(sent.prefillTokens(), sent.requests(), now);
            }
        }
    }

    private void addRecentTokens(long prefillTokens, long outputTokens, long now) {
        double retained = Math.exp(-Math.max(0, now - recentUpdatedAt) / NANOSECONDS_PER_SECOND / RECENT_DECAY_SECONDS);
        recentUpdatedAt = now;
        recentPrefillTokens = recentPrefillTokens * retained + prefillTokens;
        recentOutputTokens = recentOutputTokens * retained + outputTokens;
    }

    private void addToSentLoad(String target, long prefillTokens) {
        if (pendingEntries.size() < MAXIMUM_SENT_LOAD_ENTRIES || pendingEntries.containsKey(target)) {
            pendingEntries.merge(
                    target,
                    new SentLoad.TargetWork(target, prefillTokens, 1),
                    (first, second) -> new SentLoad.TargetWork(
                            target,
                            first.prefillTokens() + second.prefillTokens(),
                            first.requests() + second.requests()));
        }
    }
}
