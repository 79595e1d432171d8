package io.fireflywalk.core.admission;

import io.fireflywalk.core.admission.PlaceEstimate.Places;
import io.fireflywalk.core.admission.QueueDecision.Reason;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Requests of one service that wait at one instance for a free place at a target. A request waits only while all targets
 * look full, and only for as long as the wait is useful to its caller: for a fraction of what is left until its
 * objective, or longer if the observed rate of completions says that its turn comes in time.
 *
 * <p>Requests are admitted by the priority of their account, then of their route, then by whether they can still be on
 * time, and among equal ones by the time of their objective, which is moved back for accounts above their share. A class
 * that has been passed over several times gets one place, so that none waits for ever.
 *
 * <p>The estimate of free places is noisy: an instance sees a small part of the load. The queue therefore never refuses
 * a request only because the targets look full, unless a target has recently rejected one.
 *
 * <p>Not thread-safe.
 */
public final class WaitQueue {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    /** Fraction of the time left until the objective for which a request waits if the drain rate is not known. */
    private static final double WAIT_FRACTION = 0.5;
    /** A request waits for up to this multiple of its expected wait, because the rate is an average. */
    private static final double WAIT_TOLERANCE = 2;
    /** Shorter waits are not worth a timer: a target's own queue delays a request by as much. */
    private static final long MINIMUM_WAIT_NANOSECONDS = 5_000_000L;
    /** A target that rejected a request so recently is taken to be full with its own queue. */
    private static final long REJECTION_MEMORY_NANOSECONDS = 1_000_000_000L;
    /** A class that has been passed over so often gets the next place, which is a share of a ninth. */
    private static final int MAXIMUM_PASSED_OVER = 8;

    private final AdmissionSettings settings;
    private final AccountDeficits deficits;
    private final List<Entry> waiting = new ArrayList<>();
    private final Map<Urgency, Integer> passedOver = new HashMap<>();
    private long rejectedAt = Long.MIN_VALUE / 2;

    /** Creates a queue with the bounds and the share limits of the settings. */
    public WaitQueue(AdmissionSettings settings) {
        this.settings = settings;
        this.deficits = new AccountDeficits(settings);
    }

    /** Class of requests; requests of the same class are ordered by their objective and their account. */
    private record Urgency(int accountPriority, int routePriority, boolean late) implements Comparable<Urgency> {
        private static final Comparator<Urgency> ORDER = Comparator.comparingInt(Urgency::accountPriority)
                .thenComparingInt(Urgency::routePriority)
                .thenComparing(Urgency::late);

        static Urgency of(WaitingRequest request, long now) {
            return new Urgency(request.accountPriority(), request.routePriority(), request.spareForObjective(now) < 0);
        }

        @Override
        public int compareTo(Urgency other) {
            return ORDER.compare(this, other);
        }
    }

    private record Entry(WaitingRequest request, long waitsUntil) {}

    /** Returns the number of waiting requests. */
    public int size() {
        return waiting.size();
    }

    /** Records that a target rejected a request because it is full. */
    public void recordRejection(long now) {
        rejectedAt = now;
    }

    /**
     * Decides on a request that arrives or that returns after a target has rejected it. Another request may be displaced
     * by it, so there is more than one decision at times; the last one is that on the request.
     */
    public List<QueueDecision> offer(WaitingRequest request, Places places, long now) {
        deficits.markActive(request.account(), now);
        if (places.targets() == 0) {
            return List.of(QueueDecision.admitted(request.id(), Reason.NO_TARGETS));
        }
        if (places.free() > waiting.size()) {
            return List.of(admit(request, Reason.PLACE_FREE, now));
        }
        long wait = usefulWait(request, places.completionsPerSecond(), now);
        if (wait < 0) {
            return List.of(QueueDecision.refused(request.id(), Reason.DEADLINE));
        }
        if (wait < MINIMUM_WAIT_NANOSECONDS) {
            return List.of(endWait(request, now));
        }
        return enqueue(new Entry(request, now + wait), now);
    }

    private List<QueueDecision> enqueue(Entry entry, long now) {
        List<QueueDecision> decisions = new ArrayList<>();
        WaitingRequest request = entry.request();
        long ofAccount = waiting.stream()
                .filter(other -> other.request().account().equals(request.account()))
                .count();
        if (ofAccount >= settings.queuedPerAccount()) {
            return List.of(QueueDecision.refused(request.id(), Reason.QUEUE_LIMIT));
        }
        if (waiting.size() >= settings.queuedTotal()) {
            Entry last = waiting.stream().max(order(now)).orElseThrow();
            if (order(now).compare(entry, last) >= 0) {
                return List.of(QueueDecision.refused(request.id(), Reason.QUEUE_LIMIT));
            }
            waiting.remove(last);
            decisions.add(QueueDecision.refused(last.request().id(), Reason.DISPLACED));
        }
        waiting.add(entry);
        decisions.add(QueueDecision.queued(request.id()));
        return decisions;
    }

    /**
     * Ends waits that are over, then admits requests to free places.
     *
     * @param completions number of this instance's requests that were completed since the last call; their places are
     *     free even if the estimate does not show it yet
     */
    public List<QueueDecision> release(Places places, int completions, long now) {
        List<QueueDecision> decisions = new ArrayList<>();
        if (places.targets() == 0) {
            waiting.forEach(entry ->
                    decisions.add(QueueDecision.admitted(entry.request().id(), Reason.NO_TARGETS)));
            waiting.clear();
            return decisions;
        }
        for (int place = 0; place < Math.max(places.free(), completions) && !waiting.isEmpty(); place++) {
            Entry next = next(now);
            waiting.remove(next);
            decisions.add(admit(next.request(), place < places.free() ? Reason.PLACE_FREE : Reason.COMPLETION, now));
        }
        for (Entry entry : remove(entry -> entry.waitsUntil() <= now)) {
            decisions.add(endWait(entry.request(), now));
        }
        return decisions;
    }

    /** Removes a request whose caller has left or that has been answered otherwise; returns false if it is not queued. */
    public boolean cancel(long id) {
        return waiting.removeIf(entry -> entry.request().id() == id);
    }

    /** Returns the time in nanoseconds after which the next wait ends, or -1 if no request waits. */
    public long nanosecondsToNextEnd(long now) {
        return waiting.stream()
                .mapToLong(entry -> Math.max(0, entry.waitsUntil() - now))
                .min()
                .orElse(-1);
    }

    /** Returns the longest time for which it is useful to wait; negative if the deadline cannot be met. */
    private long usefulWait(WaitingRequest request, double completionsPerSecond, long now) {
        long untilObjective = request.spareForObjective(now);
        long untilDeadline = request.spareForDeadline(now);
        long fraction = Math.min(Math.max(0, (long) (untilObjective * WAIT_FRACTION)), Math.max(0, untilDeadline));
        if (untilDeadline < 0) {
            return -1;
        }
        if (completionsPerSecond <= 0) {
            return fraction;
        }
        Urgency urgency = Urgency.of(request, now);
        long ahead = waiting.stream()
                .filter(entry -> Urgency.of(entry.request(), now).compareTo(urgency) <= 0)
                .count();
        long expected = (long) ((ahead + 1) / completionsPerSecond * NANOSECONDS_PER_SECOND);
        if (expected > untilDeadline) {
            return -1;
        }
        long tolerated = (long) (expected * WAIT_TOLERANCE);
        return expected <= untilObjective
                ? Math.max(fraction, Math.min(untilObjective, tolerated))
                : Math.min(untilDeadline, tolerated);
    }

    /** Sends a request whose wait is over to a target's own queue, unless the targets have rejected requests recently. */
    private QueueDecision endWait(WaitingRequest request, long now) {
        boolean rejecting = now - rejectedAt < REJECTION_MEMORY_NANOSECONDS;
        return rejecting
                ? QueueDecision.refused(request.id(), Reason.WAIT_OVER)
                : admit(request, Reason.WAIT_OVER, now);
    }

    private QueueDecision admit(WaitingRequest request, Reason reason, long now) {
        deficits.charge(request.account(), request.cost(), now);
        return QueueDecision.admitted(request.id(), reason);
    }

    private Entry next(long now) {
        Set<Urgency> classes =
                waiting.stream().map(entry -> Urgency.of(entry.request(), now)).collect(Collectors.toSet());
        passedOver.keySet().retainAll(classes);
        Urgency mostUrgent = classes.stream().min(Comparator.naturalOrder()).orElseThrow();
        Urgency chosen = passedOver.entrySet().stream()
                .filter(entry -> entry.getValue() >= MAXIMUM_PASSED_OVER)
                .max(Map.Entry.<Urgency, Integer>comparingByValue()
                        .thenComparing(
                                Map.Entry.<Urgency, Integer>comparingByKey().reversed()))
                .map(Map.Entry::getKey)
                .orElse(mostUrgent);
        passedOver.remove(chosen);
        classes.stream()
                .filter(other -> other.compareTo(chosen) > 0)
                .forEach(other -> passedOver.merge(other, 1, Integer::sum));
        return waiting.stream()
                .filter(entry -> Urgency.of(entry.request(), now).equals(chosen))
                .min(order(now))
                .orElseThrow();
    }

    private Comparator<Entry> order(long now) {
        return Comparator.comparing((Entry entry) -> Urgency.of(entry.request(), now))
                .thenComparingDouble(entry -> dueAt(entry.request(), now))
                .thenComparingLong(entry -> entry.request().id());
    }

    /**
     * Returns the time of the objective relative to now, moved back by up to one objective for the excess of the account
     * over its share, so that an account which sends much more than others does not get all places.
     */
    private double dueAt(WaitingRequest request, long now) {
        double objective = request.objectiveNanoseconds();
        return request.rankedAt() - now + objective * (1 + deficits.excess(request.account()));
    }

    private List<Entry> remove(Predicate<Entry> condition) {
        List<Entry> removed = new ArrayList<>();
        Iterator<Entry> entries = waiting.iterator();
        while (entries.hasNext()) {
            Entry entry = entries.next();
            if (condition.test(entry)) {
                entries.remove();
                removed.add(entry);
            }
        }
        return removed;
    }
}
