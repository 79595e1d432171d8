package io.fireflywalk.core.ingress;

import java.util.Set;
import java.util.function.IntSupplier;

/**
 * State of a target as seen by this instance: the instance's requests in flight, the last reported load, recent
 * failures, and estimates of the prefill queue and the KV cache. Not thread-safe.
 */
public final class TargetState {
    /** Age after which a load report is ignored; each response carries a report. */
    private static final long REPORT_LIFETIME_NANOSECONDS = 1_000_000_000L;

    private static final long INITIAL_BACKOFF_NANOSECONDS = 300_000_000L;
    private static final long MAXIMUM_BACKOFF_NANOSECONDS = 4_000_000_000L;
    /** Weight of the latest outcome in the moving average of failures. */
    private static final double FAILURE_WEIGHT = 0.15;

    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final PrefillQueue prefillQueue = new PrefillQueue();
    private final KvCacheEstimate kvCache;
    private final TargetWork work = new TargetWork();
    private TargetEntry entry;
    private int inFlight;
    private int sentSinceReport;
    private int reportedRequests;
    private long reportedAt = Long.MIN_VALUE / 2;
    private long lastResponseAt = Long.MIN_VALUE / 2;
    private int consecutiveFailures;
    private int consecutiveRefusals;
    private double failureRate;
    private long backoffUntil = Long.MIN_VALUE / 2;
    private long fullUntil = Long.MIN_VALUE / 2;
    private boolean probeInFlight;
    private boolean leavingAnnounced;
    private long heldOffUntil = Long.MIN_VALUE / 2;
    private long stageChangesUntil = Long.MIN_VALUE / 2;

    /**
     * Creates the state of a target.
     *
     * @param promptCacheTokens tokens of the target's KV cache that are available to prompts
     */
    public TargetState(TargetEntry entry, IntSupplier promptCacheTokens) {
        this.entry = entry;
        this.kvCache = new KvCacheEstimate(promptCacheTokens);
    }

    /** Returns the latest registry entry of the target. */
    public TargetEntry entry() {
        return entry;
    }

    /**
     * Replaces the entry. A restart of the target clears the queue, the cache, the failures, and what the target has
     * announced in its responses; an entry of the same run clears none of these.
     */
    public void update(TargetEntry newEntry) {
        if (newEntry.startedAtMilliseconds() != entry.startedAtMilliseconds()) {
            prefillQueue.clear();
            kvCache.clear();
            work.clear();
            consecutiveFailures = 0;
            failureRate = 0;
            backoffUntil = Long.MIN_VALUE / 2;
            fullUntil = Long.MIN_VALUE / 2;
            probeInFlight = false;
            leavingAnnounced = false;
            heldOffUntil = Long.MIN_VALUE / 2;
        }
        if (newEntry.stage() != entry.stage() || newEntry.startedAtMilliseconds() != entry.startedAtMilliseconds()) {
            stageChangesUntil = Long.MIN_VALUE / 2;
        }
        entry = newEntry;
    }

    // Events

    /** Records a request sent to the target. */
    public void recordSent() {
        inFlight++;
        sentSinceReport++;
        work.recordSent();
        if (consecutiveFailures > 0) {
            probeInFlight = true;
        }
    }

    /** Records a prompt that this or another instance sent to the target for prefill. */
    public void recordPrefillQueued(PromptSummary prompt, double prefillMilliseconds, long now) {
        prefillQueue.add(now, prefillMilliseconds, prompt.priority());
        double wait = prefillQueue.waitMilliseconds(prompt.priority(), now);
        recordParts(prompt, now + (long) (wait * NANOSECONDS_PER_MILLISECOND));
    }

    /** Records the completed prefill of a prompt that this instance queued at the given time. */
    public void recordPrefillCompleted(PromptSummary prompt, long queuedAt, long now) {
        prefillQueue.completed(queuedAt, prompt.priority(), now);
    }

    /** Records that the target will not process a prompt that this instance queued at the given time. */
    public void recordPrefillCancelled(PromptSummary prompt, long queuedAt, long now) {
        prefillQueue.cancelled(queuedAt);
        kvCache.discardPending(prompt.sharedPart(), now);
    }

    /** Records that the target holds the KV cache of a prompt. */
    public void recordKvCacheFetched(PromptSummary prompt, long now) {
        recordParts(prompt, now);
    }

    private void recordParts(PromptSummary prompt, long availableAt) {
        if (prompt.sharedTokens() > 0) {
            kvCache.recordUse(prompt.sharedPart(), prompt.sharedTokens(), availableAt);
        }
        kvCache.recordUse(prompt.ownPart(), prompt.ownTokens(), availableAt);
    }

    /** Records the end of a request. */
    public void recordEnd() {
        inFlight--;
        work.recordEnd();
    }

    /** Records that the head of a response arrived from the target. */
    public void recordResponseStart(long now) {
        lastResponseAt = now;
    }

    /** Records a successful response. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        consecutiveRefusals = 0;
        probeInFlight = false;
        failureRate *= 1 - FAILURE_WEIGHT;
    }

    /**
     * Records a failure attributable to the target. The backoff doubles with each consecutive failure, up to a maximum.
     */
    public void recordFailure(long now) {
        failureRate += FAILURE_WEIGHT * (1 - failureRate);
        if (now < backoffUntil) {
            return;
        }
        consecutiveFailures++;
        probeInFlight = false;
        int doublings = Math.min(8, consecutiveFailures - 1);
        backoffUntil = now + Math.min(MAXIMUM_BACKOFF_NANOSECONDS, INITIAL_BACKOFF_NANOSECONDS << doublings);
    }

    /** Records a refusal by a responsive target. The backoff doubles with each consecutive refusal, at most 3 times. */
    public void recordRefusal(long now) {
        if (now < backoffUntil) {
            return;
        }
        consecutiveRefusals++;
        int doublings = Math.min(3, consecutiveRefusals - 1);
        backoffUntil = now + (INITIAL_BACKOFF_NANOSECONDS << doublings);
    }

    /** Records that the target rejected a request because all its slots are in use. */
    void recordFull(double milliseconds, long now) {
        fullUntil = now + (long) (milliseconds * NANOSECONDS_PER_MILLISECOND);
    }

    /**
     * Records that the target announced in a response that it leaves. This holds until it restarts, whatever its entry
     * says, because the entry may be older than the response.
     *
     * @return true if it was not known before
     */
    public boolean recordLeaving() {
        boolean news = !leavingAnnounced;
        leavingAnnounced = true;
        return news;
    }

    /** Records that the target wants no request for some time; a shorter time does not replace a longer one. */
    public void recordHoldOff(long nanoseconds, long now) {
        heldOffUntil = Math.max(heldOffUntil, now + nanoseconds);
    }

    /** Records an order to change the stage; the target rejects requests until its entry shows the new stage. */
    public void recordStageChange(long maximumNanoseconds, long now) {
        stageChangesUntil = now + maximumNanoseconds;
    }

    /** Records the number of running and queued requests that the target reported. */
    public void recordReport(int requests, long now) {
        reportedRequests = requests;
        reportedAt = now;
        sentSinceReport = 0;
        if (requests == 0) {
            prefillQueue.reportedIdle(now);
        }
    }

    // Queries

    /** Returns what is known of the target's work and speed, for services whose targets are chosen by it. */
    public TargetWork work() {
        return work;
    }

    /**
     * Tells whether the target may receive a request. A leaving target, one that wants none and one that changes its
     * stage may not; a failing one receives one probe at a time after its backoff.
     */
    public boolean available(long now) {
        return eligibility(now) == Eligibility.ELIGIBLE;
    }

    /** Returns why the target may not receive a request. */
    private Eligibility eligibility(long now) {
        if (!acceptsRequests(now)) {
            return entry.leaving() || leavingAnnounced ? Eligibility.LEAVING : Eligibility.PAUSED;
        }
        if (now < backoffUntil) {
            return consecutiveFailures > 0 ? Eligibility.CIRCUIT_OPEN : Eligibility.PAUSED;
        }
        if (now < stageChangesUntil) {
            return Eligibility.PAUSED;
        }
        if (now < fullUntil) {
            return Eligibility.FULL;
        }
        return consecutiveFailures > 0 && probeInFlight && inFlight > 0
                ? Eligibility.CIRCUIT_OPEN
                : Eligibility.ELIGIBLE;
    }

    /**
     * Tells whether the target may receive a request of this instance, and if not, why.
     *
     * @param excluded identifiers of targets that the request must not go to
     * @param maximumInFlight number of requests that this instance may have in progress at the target
     */
    Eligibility eligibility(Set<String> excluded, int maximumInFlight, long now) {
        Eligibility own = eligibility(now);
        if (own != Eligibility.ELIGIBLE) {
            return own;
        }
        if (inFlight >= maximumInFlight) {
            return Eligibility.FULL;
        }
        return !excluded.isEmpty() && excluded.contains(entry.identifier())
                ? Eligibility.EXCLUDED
                : Eligibility.ELIGIBLE;
    }

    /**
     * Tells whether the target wants requests, as far as it has said. A request that was assigned to it before is not
     * sent if this has changed.
     */
    public boolean acceptsRequests(long now) {
        return !entry.leaving() && !leavingAnnounced && !heldOff(now);
    }

    /** Tells whether the target wants no requests for some time. */
    public boolean heldOff(long now) {
        return now < heldOffUntil;
    }

    /** Returns the nanoseconds until the target wants requests again, or 0. */
    public long heldOffNanoseconds(long now) {
        return Math.max(0, heldOffUntil - now);
    }

    /** Returns an estimate of the number of requests at the target. */
    public double estimatedRequests(long now) {
        if (now - reportedAt > REPORT_LIFETIME_NANOSECONDS) {
            return inFlight;
        }
        return Math.max(inFlight, reportedRequests + (double) sentSinceReport);
    }

    /** Tells whether the target runs whole requests; runners of the prefill stage do not. */
    public boolean generates() {
        return entry.stage() != TargetEntry.Stage.PREFILL;
    }

    /** Returns the moving average of failures, from 0 to 1. */
    public double failureRate() {
        return failureRate;
    }

    /** Returns the number of this instance's requests in flight at the target. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the estimated time until the target has processed all known prompts of the same or a higher priority. */
    public double prefillWaitMilliseconds(int priority, long now) {
        return prefillQueue.waitMilliseconds(priority, now);
    }

    /** Returns the time at which the latest response from the target started. */
    public long lastResponseAt() {
        return lastResponseAt;
    }

    /** Tells whether the target has the part in its KV cache or has its prefill pending. */
    public boolean hasOrExpectsPart(String part) {
        return kvCache.containsOrExpects(part);
    }

    /** Tells whether the target has the part in its KV cache, so that other targets can fetch it. */
    public boolean hasPart(String part, long now) {
        return kvCache.contains(part, now);
    }
}
