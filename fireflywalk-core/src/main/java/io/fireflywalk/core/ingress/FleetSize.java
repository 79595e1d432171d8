package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.FleetDemand.Demand;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.Optional;

/**
 * Decides how many targets a service needs, and the fraction of them in the prefill stage, while one instance holds the
 * lease. The number rises at once and falls slowly, because a target that is taken away loses its KV cache. Not
 * thread-safe.
 */
public final class FleetSize {
    /** Planned targets per baseline target until the load has been measured: a wave's peak, less the cost of a surge. */
    private static final double UNMEASURED_FACTOR = 1.5;
    /** Planned targets per baseline target of the constant plan, if preemptible targets are offered and if not. */
    private static final double CONSTANT_PREEMPTIBLE_FACTOR = 3;

    private static final double CONSTANT_REGULAR_FACTOR = 2;
    /** Seconds under load that must have been measured before the number may fall. */
    private static final int MEASURED_SECONDS = 12;
    /** Time without enough totals after which the plan returns to the constant one. */
    private static final long MISSING_NANOSECONDS = 3_000_000_000L;
    /** Time that a new lease holder waits for the first totals. */
    private static final long FIRST_TOTALS_NANOSECONDS = 10_000_000_000L;

    /** Seconds whose largest number is kept; the quietest part of a pattern of waves must not take targets away. */
    private static final int FALL_WINDOW = 12;

    private static final long STEP_DOWN_INTERVAL_NANOSECONDS = 3_000_000_000L;
    private static final double STEP_DOWN_FRACTION = 0.1;
    /** Smaller differences are not worth an order. */
    private static final double MINIMUM_STEP_DOWN_FRACTION = 0.05;

    /** Prefill runners beyond the busy ones, per square root of these; with 2, about 2% of the prompts have to wait. */
    private static final double PREFILL_MARGIN = 2;
    /** The same for decode runners, whose requests share the runner instead of waiting for each other. */
    private static final double DECODE_MARGIN = 1;

    /** Fraction of the slots, and of the objective, that requests at a runner may take up before more are planned. */
    private static final double MAXIMUM_LOAD_FRACTION = 0.5;

    private static final double MINIMUM_PREFILL_FRACTION = 0.3;
    private static final double MAXIMUM_PREFILL_FRACTION = 0.7;
    private static final double INITIAL_PREFILL_FRACTION = 0.5;
    /** Smaller differences are not worth the seconds that a runner needs to change its stage. */
    private static final double MINIMUM_FRACTION_CHANGE = 0.08;

    /** Largest difference per change, because the runners that change their stage serve nothing meanwhile. */
    private static final double MAXIMUM_FRACTION_CHANGE = 0.1;

    private static final long FRACTION_INTERVAL_NANOSECONDS = 6_000_000_000L;
    /** Seconds under load after which the work of both kinds is compared: at least one wave. */
    private static final int COMPARED_SECONDS = 3;

    private final int baselineTargets;
    private final long startedAt;
    private final int unmeasuredTargets;
    private final int initialTargets;
    private final Level targetLevel;
    private final Level requiredLevel;
    private int measuredSeconds;
    private long lastMeasuredAt;
    private double prefillFraction;
    private long fractionChangedAt;

    /**
     * Facts about the service.
     *
     * @param preemptible true if preemptible targets are offered
     * @param zones number of availability zones
     * @param slots concurrent requests of a target
     * @param staged true if runners serve different stages; otherwise each prefills at the speed of a decode runner
     * @param prefillTargets present targets in the prefill stage
     * @param decodeTargets all other present targets
     */
    public record Facts(
            boolean preemptible, int zones, int slots, boolean staged, int prefillTargets, int decodeTargets) {}

    /** Number that rises at once, and falls slowly to the largest of the latest values. */
    private static final class Level {
        private final Deque<Integer> latest = new ArrayDeque<>();
        private int value;
        private long changedAt;

        private Level(int value, long now) {
            this.value = value;
            this.changedAt = now;
        }

        private void follow(int measured, int minimum, boolean mayFall, long now) {
            latest.addLast(measured);
            if (latest.size() > FALL_WINDOW) {
                latest.removeFirst();
            }
            int wanted = Math.max(measured, minimum);
            int largest = Math.max(Collections.max(latest), minimum);
            boolean worthOrder = value - largest > Math.max(1, MINIMUM_STEP_DOWN_FRACTION * value);
            if (wanted > value) {
                value = wanted;
                changedAt = now;
            } else if (mayFall && worthOrder && now - changedAt >= STEP_DOWN_INTERVAL_NANOSECONDS) {
                value = Math.max(largest, value - Math.max(1, (int) (STEP_DOWN_FRACTION * value)));
                changedAt = now;
            }
        }
    }

    /** Phases of the decision. */
    public enum Basis {
        /** The load has not been measured for long enough. */
        UNMEASURED,
        /** The plan follows the measured load. */
        MEASURED,
        /** Totals of too many instances are missing. */
        TOTALS_MISSING
    }

    /**
     * Planned size with the figures that decided it.
     *
     * @param targets planned targets, which include the loss of a zone's preemptible ones
     * @param required targets that the load needs, at least the baseline; regular ones are ordered for these only
     * @param prefillNeeded prefill runners that the load needs
     * @param decodeNeeded other runners that the load needs
     * @param demand measured demand; empty if none was measured
     */
    public record Decision(
            Basis basis,
            int targets,
            int required,
            double prefillFraction,
            double prefillNeeded,
            double decodeNeeded,
            Optional<Demand> demand) {

        /** Returns the number of targets in service below which no regular one is taken away. */
        public int minimumServing() {
            return basis == Basis.MEASURED ? required : targets;
        }
    }

    /**
     * Starts a decision.
     *
     * @param baselineTargets number of targets in the operator's fleet size
     * @param facts facts whose present targets are not reduced before the load is measured
     */
    public FleetSize(int baselineTargets, Facts facts, long now) {
        this.baselineTargets = baselineTargets;
        this.startedAt = now;
        this.unmeasuredTargets = (int) Math.ceil(UNMEASURED_FACTOR * baselineTargets);
        int present = facts.prefillTargets() + facts.decodeTargets();
        this.initialTargets = Math.min(constantTargets(facts.preemptible()), Math.max(unmeasuredTargets, present));
        this.targetLevel = new Level(initialTargets, now);
        this.requiredLevel = new Level(unmeasuredTargets, now);
        double presentFraction = (double) facts.prefillTargets() / Math.max(1, present);
        boolean usual = presentFraction >= MINIMUM_PREFILL_FRACTION && presentFraction <= MAXIMUM_PREFILL_FRACTION;
        this.prefillFraction = usual ? presentFraction : INITIAL_PREFILL_FRACTION;
        this.lastMeasuredAt = now;
        this.fractionChangedAt = now;
    }

    /**
     * Decides for the next second.
     *
     * @param sample work of the last second; empty if totals are missing
     * @param demand demand according to the window
     */
    public Decision decide(Optional<ArrivedWork> sample, Demand demand, Facts facts, long now) {
        sample.ifPresent(work -> {
            lastMeasuredAt = now;
            // Seconds before the first requests say nothing about the load.
            measuredSeconds += work.prefill().requests() + work.decode().requests() > 0 ? 1 : 0;
        });
        Basis basis = basis(now);
        double prefillNeeded = Math.max(
                runners(demand.prefill(), PREFILL_MARGIN),
                runnersForLoad(
                        demand.prefill(),
                        demand.prefillLoad(),
                        facts.prefillTargets(),
                        Math.min(facts.slots(), promptsPerObjective(demand.prefill())),
                        facts));
        double decodeNeeded = Math.max(
                runners(demand.decode(), DECODE_MARGIN),
                runnersForLoad(demand.decode(), demand.decodeLoad(), facts.decodeTargets(), facts.slots(), facts));
        double slowPrefill = facts.staged() ? 1 : RunnerLatencyModel.defaults().decodePrefillFactor();
        double needed = slowPrefill * prefillNeeded + decodeNeeded;
        int required = Math.max(baselineTargets, (int) Math.ceil(needed));
        int wanted = Math.max(baselineTargets, (int) Math.ceil(zoneLossFactor(facts) * needed));
        boolean mayFall = basis == Basis.MEASURED;
        targetLevel.follow(wanted, minimumTargets(basis, facts), mayFall, now);
        requiredLevel.follow(required, minimumRequired(basis), mayFall, now);
        if (basis != Basis.TOTALS_MISSING && measuredSeconds >= COMPARED_SECONDS) {
            followFraction(slowPrefill * prefillNeeded, decodeNeeded, now);
        }
        return new Decision(
                basis,
                targetLevel.value,
                Math.min(requiredLevel.value, targetLevel.value),
                prefillFraction,
                prefillNeeded,
                decodeNeeded,
                measuredSeconds > 0 ? Optional.of(demand) : Optional.empty());
    }

    private int minimumTargets(Basis basis, Facts facts) {
        return switch (basis) {
            case UNMEASURED -> initialTargets;
            case MEASURED -> baselineTargets;
            case TOTALS_MISSING -> constantTargets(facts.preemptible());
        };
    }

    private int minimumRequired(Basis basis) {
        return switch (basis) {
            case UNMEASURED -> unmeasuredTargets;
            case MEASURED -> baselineTargets;
            case TOTALS_MISSING -> constantTargets(false);
        };
    }

    private int constantTargets(boolean preemptible) {
        return (int) Math.ceil(baselineTargets * (preemptible ? CONSTANT_PREEMPTIBLE_FACTOR : CONSTANT_REGULAR_FACTOR));
    }

    private Basis basis(long now) {
        boolean waitsForTotals = measuredSeconds == 0 && now - startedAt < FIRST_TOTALS_NANOSECONDS;
        if (now - lastMeasuredAt > MISSING_NANOSECONDS && !waitsForTotals) {
            return Basis.TOTALS_MISSING;
        }
        return measuredSeconds < MEASURED_SECONDS ? Basis.UNMEASURED : Basis.MEASURED;
    }

    /**
     * Returns the runners that process the work with short queues, by square-root staffing: the runners that the work keeps
     * busy, and a margin that grows with the square root of their number, because the fluctuations of independent arrivals
     * do. The choice of targets by work lets the runners share their queues nearly as if they had one.
     */
    private static double runners(ArrivedWork.Kind work, double margin) {
        double busy = work.milliseconds() / 1000;
        return busy + margin * Math.sqrt(busy);
    }

    /** Returns the prompts that a prefill runner processes within their objective. */
    private static double promptsPerObjective(ArrivedWork.Kind work) {
        return work.milliseconds() > 0 ? work.objectiveMilliseconds() / work.milliseconds() : 0;
    }

    /**
     * Returns the runners at which the requests in progress take up half of what a runner holds: its slots or, at prefill
     * runners, which process one prompt after the other, the prompts of an objective. The requests at a decode runner
     * run together, so that only its slots bound them. Exceeds the other figure if runners are slower than the latency
     * model. Limited to the constant plan, because requests also accumulate when more runners do not help.
     */
    private double runnersForLoad(
            ArrivedWork.Kind work, double meanLoad, int targets, double requestsPerRunner, Facts facts) {
        if (work.requests() <= 0 || work.milliseconds() <= 0) {
            return 0;
        }
        double allowed = Math.max(1, MAXIMUM_LOAD_FRACTION * requestsPerRunner);
        double limit = constantTargets(facts.preemptible()) / 2.0 / zoneLossFactor(facts);
        return Math.min(limit, meanLoad * targets / allowed);
    }

    /**
     * Returns the planned targets per needed one, so that enough remain without the preemptible targets of one of the
     * zones, over which the targets are distributed evenly. With a single zone, nothing covers its loss.
     */
    private static double zoneLossFactor(Facts facts) {
        return facts.preemptible() && facts.zones() > 1 ? (double) facts.zones() / (facts.zones() - 1) : 1;
    }

    private void followFraction(double prefillNeeded, double decodeNeeded, long now) {
        double total = prefillNeeded + decodeNeeded;
        if (total <= 0 || now - fractionChangedAt < FRACTION_INTERVAL_NANOSECONDS) {
            return;
        }
        double wanted = Math.max(MINIMUM_PREFILL_FRACTION, Math.min(MAXIMUM_PREFILL_FRACTION, prefillNeeded / total));
        if (Math.abs(wanted - prefillFraction) >= MINIMUM_FRACTION_CHANGE) {
            prefillFraction = Math.max(
                    prefillFraction - MAXIMUM_FRACTION_CHANGE,
                    Math.min(prefillFraction + MAXIMUM_FRACTION_CHANGE, wanted));
            fractionChangedAt = now;
        }
    }
}
