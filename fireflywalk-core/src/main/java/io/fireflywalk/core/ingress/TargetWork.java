package io.fireflywalk.core.ingress;

/**
 * What an instance knows of the work that a target has to do and of its speed: the latest load report with its age, the
 * means of earlier ones, the instance's own requests since, and the outcomes of recent requests. Not thread-safe.
 */
public final class TargetWork {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    /** The reported slowdown changes many times a second, so a report tells little about it after this time. */
    private static final double SLOWDOWN_MEMORY_NANOSECONDS = 150e6;
    /** Targets stay fast or slow for long, but their load follows waves of a few seconds. */
    private static final double LOAD_HALF_LIFE_MILLISECONDS = 2000;

    private static final double SPEED_HALF_LIFE_MILLISECONDS = 20_000;
    /** Failures of a target usually last some seconds. */
    private static final double OUTCOME_HALF_LIFE_MILLISECONDS = 2000;
    /** Weight of the spread of the slowdown in the time that is expected when the latest report is old. */
    private static final double SPREAD_WEIGHT = 0.3;

    /** Requests of one route differ among each other, so that one time tells little about the target. */
    private static final double FACTOR_PRIOR_WEIGHT = 8;

    /** Bounds of the observed factor, which only corrects the reported slowdown. */
    private static final double MINIMUM_OBSERVED_FACTOR = 0.5;

    private static final double MAXIMUM_OBSERVED_FACTOR = 3;
    private static final double MINIMUM_FACTOR = 0.2;
    private static final double MAXIMUM_FACTOR = 8;
    /** Variance of the prior slowdown; 0.6 to 1.6 were seen. */
    private static final double PRIOR_SLOWDOWN_VARIANCE = 0.04;

    private DecayingAverage load;
    private DecayingAverage slowdown;
    private DecayingAverage observedFactor;
    private DecayingAverage failures;
    private boolean reported;
    private long reportedAt;
    private int reportedRequests;
    private int reportedSlots;
    private double reportedSlowdown = 1;
    private int inFlight;
    private int changeSinceReport;
    private double ownMilliseconds;

    TargetWork() {
        clear();
    }

    // Events

    /** Forgets what is known of an earlier run of the target, except this instance's requests in flight. */
    final void clear() {
        load = new DecayingAverage(0, 0, 1, LOAD_HALF_LIFE_MILLISECONDS);
        slowdown = new DecayingAverage(1, PRIOR_SLOWDOWN_VARIANCE, 1, SPEED_HALF_LIFE_MILLISECONDS);
        observedFactor = new DecayingAverage(1, 0, FACTOR_PRIOR_WEIGHT, SPEED_HALF_LIFE_MILLISECONDS);
        failures = new DecayingAverage(0, 0, 1, OUTCOME_HALF_LIFE_MILLISECONDS);
        reported = false;
        reportedRequests = 0;
        reportedSlots = 0;
        reportedSlowdown = 1;
    }

    /** Records a request of this instance that is sent to the target. */
    void recordSent() {
        inFlight++;
        changeSinceReport++;
    }

    /** Records the end of a request of this instance. */
    void recordEnd() {
        inFlight--;
        changeSinceReport--;
    }

    /** Adds the expected time of a request of this instance that is in progress; negative when it ends. */
    void addOwnMilliseconds(double milliseconds) {
        ownMilliseconds = Math.max(0, ownMilliseconds + milliseconds);
    }

    /**
     * Records a report.
     *
     * @param at time of the report, which may have reached this instance through another one
     * @return true unless a later report is known
     */
    boolean recordReport(ServerLoad report, long at) {
        if (reported && at <= reportedAt) {
            return false;
        }
        reported = true;
        reportedAt = at;
        reportedRequests = report.requests();
        reportedSlots = report.slots();
        changeSinceReport = 0;
        load.add((double) report.requests(), at);
        if (report.statesSlowdown()) {
            reportedSlowdown = bounded(report.slowdownPercent() / 100.0);
            slowdown.add(reportedSlowdown, at);
        }
        return true;
    }

    /** Records the time that a request took as a multiple of the expected time at the reported slowdown. */
    void recordFactor(double factor, long now) {
        observedFactor.add(Math.max(MINIMUM_OBSERVED_FACTOR, Math.min(MAXIMUM_OBSERVED_FACTOR, factor)), now);
    }

    /** Records whether the target answered a request without an error of its own. */
    void recordOutcome(boolean success, long now) {
        failures.add(success ? 0 : 1, now);
    }

    private static double bounded(double factor) {
        return Math.max(MINIMUM_FACTOR, Math.min(MAXIMUM_FACTOR, factor));
    }

    // Queries

    /** Returns the number of slots that the target reported; 0 if it has reported none. */
    int slots() {
        return reportedSlots;
    }

    /** Returns the age of the latest report in milliseconds; infinite if there is none. */
    public double reportAgeMilliseconds(long now) {
        return reported ? Math.max(0, now - reportedAt) / NANOSECONDS_PER_MILLISECOND : Double.POSITIVE_INFINITY;
    }

    /** Returns how much the latest report still tells about the load: 1 when it is new, then less. */
    double freshness(double memoryMilliseconds, long now) {
        return reported ? Math.exp(-reportAgeMilliseconds(now) / memoryMilliseconds) : 0;
    }

    /**
     * Returns the expected number of requests at the target. It starts from the latest report and moves to the mean of
     * the target's reports as that one ages, and that mean to the service's mean.
     */
    double requests(double serviceMean, double freshness, long now) {
        double mean = load.mean(serviceMean, now);
        double estimate = mean + freshness * (reportedRequests - mean + changeSinceReport);
        return Math.max(inFlight, estimate);
    }

    /** Returns the expected time of work of all requests at the target, of which this instance knows its own. */
    double workMilliseconds(double requests, double meanMilliseconds) {
        return Math.max(0, requests - inFlight) * meanMilliseconds + ownMilliseconds;
    }

    /** Returns the expected time of work at the target as a multiple of the usual time. */
    public double timeFactor(double serviceSlowdown, long now) {
        double mean = slowdown.mean(serviceSlowdown);
        double fresh = reported ? Math.exp(-Math.max(0, now - reportedAt) / SLOWDOWN_MEMORY_NANOSECONDS) : 0;
        double spread = slowdown.empty() ? 0 : Math.sqrt(slowdown.variance());
        double reportedFactor = slowdown.empty()
                ? mean
                : mean + fresh * (reportedSlowdown - mean) + (1 - fresh) * SPREAD_WEIGHT * spread;
        return bounded(reportedFactor * observedFactor.mean());
    }

    /** Returns the reported slowdown as of the latest report, against which an observed time is compared. */
    double reportedSlowdown() {
        return reportedSlowdown;
    }

    /** Returns the fraction of the recent requests that ended with an error of the target. */
    double failureFraction(long now) {
        return failures.mean(0, now);
    }
}
