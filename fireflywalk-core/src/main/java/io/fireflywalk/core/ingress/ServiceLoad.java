package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;

/**
 * Load of a service as this instance knows it: the means of the reports of all targets, which stand in for the targets
 * that it has not heard of, the learned length of their queues, and the times of requests. Not thread-safe.
 */
public final class ServiceLoad {
    /** Waves of arrivals last about three seconds; older reports tell little of the present load. */
    private static final double LOAD_HALF_LIFE_MILLISECONDS = 1000;

    private static final double TIME_HALF_LIFE_MILLISECONDS = 10_000;
    /** Used fraction of the slots, and its variance, until targets have reported. */
    private static final double PRIOR_USE = 0.3;

    private static final double PRIOR_USE_VARIANCE = 0.1;
    private static final double PRIOR_TIME_MILLISECONDS = 150;
    /** A report stays of use for about twice as long as a request occupies a slot, within these bounds. */
    private static final double MEMORY_PER_TIME = 2;

    private static final double MINIMUM_MEMORY_MILLISECONDS = 100;
    private static final double MAXIMUM_MEMORY_MILLISECONDS = 2000;
    /** Variance of the number of requests right after a report, which was sent some milliseconds before. */
    private static final double REPORT_VARIANCE = 0.25;
    /** Each request at a target changes its number of requests twice within its time, when it arrives and when it ends. */
    private static final double CHANGES_PER_TIME = 2;
    /** Slots that become free before a target which has rejected a request gets another one. */
    private static final double FREED_SLOTS = 2;
    /** A request that was rejected is sent again within a few milliseconds, which must not go to the same target. */
    private static final double MINIMUM_FULL_MILLISECONDS = 20;

    private static final double MAXIMUM_FULL_MILLISECONDS = 100;
    /** Queue of a target, as a multiple of its slots, until one has rejected a request. */
    private static final double INITIAL_QUEUE_PER_SLOT = 3;
    /** Scale at which ln(1 + e^x) approximates the expected excess of a normal variable of standard deviation 1. */
    private static final double EXCESS_SCALE = 0.55;
    /** Scale at which the logistic function approximates the normal distribution. */
    private static final double LOGISTIC_SCALE = 1.702;

    private final Map<Stage, DecayingAverage> useByStage = new EnumMap<>(Stage.class);
    private final DecayingAverage slowdown = new DecayingAverage(1, 0, 1, LOAD_HALF_LIFE_MILLISECONDS);
    private final DecayingAverage serviceTime =
            new DecayingAverage(PRIOR_TIME_MILLISECONDS, 0, 1, TIME_HALF_LIFE_MILLISECONDS);
    private double queuePerSlot = INITIAL_QUEUE_PER_SLOT;
    private boolean statesSlowdown;

    ServiceLoad() {
        for (Stage stage : Stage.values()) {
            useByStage.put(stage, new DecayingAverage(PRIOR_USE, PRIOR_USE_VARIANCE, 1, LOAD_HALF_LIFE_MILLISECONDS));
        }
    }

    // Events

    /**
     * Records a report of a target of the service.
     *
     * @param rejected true if the target rejected a request with the response that carried the report
     * @return true unless a later report of the target is known
     */
    boolean recordReport(TargetState target, ServerLoad report, boolean rejected, long at) {
        statesSlowdown |= report.statesSlowdown();
        int slots = Math.max(1, report.slots() > 0 ? report.slots() : slots(target));
        double waitingPerSlot = (double) (report.requests() - slots) / slots;
        if (rejected && waitingPerSlot >= 0) {
            queuePerSlot = Math.min(queuePerSlot, waitingPerSlot);
        } else if (!rejected) {
            queuePerSlot = Math.max(queuePerSlot, waitingPerSlot);
        }
        if (!target.work().recordReport(report, at)) {
            return false;
        }
        useByStage.get(target.entry().stage()).add((double) report.requests() / slots, at);
        if (report.statesSlowdown()) {
            slowdown.add(report.slowdownPercent() / 100.0, at);
        }
        return true;
    }

    /** Records the time that a request would have taken at an idle target of usual speed. */
    void recordServiceTime(double milliseconds, long now) {
        serviceTime.add(milliseconds, now);
    }

    // Queries

    /** Returns the expected time until some slots of a full target are free. */
    double slotMilliseconds(TargetState target, long now) {
        double perSlot = serviceMilliseconds() * target.work().timeFactor(meanSlowdown(), now) / slots(target);
        return Math.max(MINIMUM_FULL_MILLISECONDS, Math.min(MAXIMUM_FULL_MILLISECONDS, FREED_SLOTS * perSlot));
    }

    /** Tells whether a target of the service has stated how long work takes there. */
    boolean statesSlowdown() {
        return statesSlowdown;
    }

    /** Returns the mean time that a request occupies a slot of a target of usual speed. */
    public double serviceMilliseconds() {
        return serviceTime.mean();
    }

    /** Returns the expected time of work as a multiple of the usual one, for a target that has not stated it. */
    double meanSlowdown() {
        return slowdown.mean();
    }

    /** Returns the time in which a report loses most of its value. */
    double memoryMilliseconds() {
        double memory = MEMORY_PER_TIME * serviceTime.mean() * slowdown.mean();
        return Math.max(MINIMUM_MEMORY_MILLISECONDS, Math.min(MAXIMUM_MEMORY_MILLISECONDS, memory));
    }

    /** Returns the mean number of requests per slot among the targets of a stage. */
    double use(Stage stage, long now) {
        return useByStage.get(stage).mean(PRIOR_USE, now);
    }

    static int slots(TargetState target) {
        int reported = target.work().slots();
        return Math.max(1, reported > 0 ? reported : target.entry().slots());
    }

    /** Returns the number of requests that a target holds at most, running and waiting. */
    double capacity(int slots) {
        return slots * (1 + queuePerSlot);
    }

    /** Returns the expected number of requests at a target. */
    double requests(TargetState target, double freshness, long now) {
        return target.work().requests(use(target.entry().stage(), now) * slots(target), freshness, now);
    }

    /** Returns the expected number of requests at a target, by the value that its report still has. */
    double requests(TargetState target, long now) {
        return requests(target, target.work().freshness(memoryMilliseconds(), now), now);
    }

    /** Returns the standard deviation of the number of requests at a target. */
    double deviation(TargetState target, double freshness, long now) {
        double variance = useByStage.get(target.entry().stage()).variance();
        int slots = slots(target);
        double changes = CHANGES_PER_TIME
                * Math.min(1, target.work().reportAgeMilliseconds(now) / serviceMilliseconds())
                * use(target.entry().stage(), now)
                * slots;
        return Math.sqrt(REPORT_VARIANCE + (1 - freshness * freshness) * variance * slots * slots + changes);
    }

    /** Returns the expected amount by which a normal variable exceeds a limit. */
    static double expectedExcess(double mean, double limit, double deviation) {
        double scale = EXCESS_SCALE * deviation;
        double ratio = (mean - limit) / scale;
        return ratio > 30 ? mean - limit : scale * Math.log1p(Math.exp(ratio));
    }

    /** Returns the probability that a normal variable exceeds a limit. */
    static double exceedance(double mean, double limit, double deviation) {
        return 1 / (1 + Math.exp(LOGISTIC_SCALE * (limit - mean) / deviation));
    }

    /** Returns the expected number of free slots of the targets that run whole requests and may receive one. */
    public double freePlaces(Collection<TargetState> targets, long now) {
        double memory = memoryMilliseconds();
        double free = 0;
        for (TargetState target : targets) {
            if (target.generates() && target.available(now)) {
                double freshness = target.work().freshness(memory, now);
                free += expectedExcess(
                        slots(target), requests(target, freshness, now), deviation(target, freshness, now));
            }
        }
        return free;
    }

    /**
     * Returns the expected time until a slot is free for one more request, given the requests that wait at the targets and
     * at this instance. Infinite if no target may receive a request.
     *
     * @param waitingHere requests that wait at this instance and come first
     */
    public double expectedWaitMilliseconds(Collection<TargetState> targets, double waitingHere, long now) {
        double memory = memoryMilliseconds();
        double waiting = waitingHere + 1;
        double slotsPerTime = 0;
        for (TargetState target : targets) {
            if (target.generates() && target.available(now)) {
                int slots = slots(target);
                waiting += requests(target, target.work().freshness(memory, now), now) - slots;
                slotsPerTime += slots / target.work().timeFactor(meanSlowdown(), now);
            }
        }
        if (slotsPerTime == 0) {
            return Double.POSITIVE_INFINITY;
        }
        return Math.max(0, waiting) * serviceMilliseconds() / slotsPerTime;
    }

    /** Returns the probability that a target would reject one more request because its slots and its queue are full. */
    double rejectionProbability(TargetState target, long now) {
        double freshness = target.work().freshness(memoryMilliseconds(), now);
        return exceedance(
                requests(target, freshness, now) + 0.5, capacity(slots(target)), deviation(target, freshness, now));
    }

    /**
     * Returns the time that a prompt would wait at a runner. The prompts that instances notified each other of include the
     * latest ones, the runner's report includes those of lost notices and the progress made; a new report counts as much as
     * the notices.
     *
     * @param notifiedMilliseconds wait according to the notices
     * @param prefillMilliseconds prefill time of the prompt at the runner, which stands for that of others
     */
    double prefillWaitMilliseconds(
            TargetState target, double notifiedMilliseconds, double prefillMilliseconds, long now) {
        if (target.entry().stage() != Stage.PREFILL) {
            return notifiedMilliseconds;
        }
        double freshness = target.work().freshness(memoryMilliseconds(), now);
        // The prompt in progress has half of its prefill left on average.
        double reported = Math.max(0, requests(target, freshness, now) - 0.5) * prefillMilliseconds;
        return notifiedMilliseconds + freshness / 2 * (reported - notifiedMilliseconds);
    }
}
