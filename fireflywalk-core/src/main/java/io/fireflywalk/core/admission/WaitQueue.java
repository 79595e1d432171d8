package io.fireflywalk.core.admission;

import io.fireflywalk.core.admission.AdmissionDecision.State;
import io.fireflywalk.core.admission.PlaceEstimate.Places;
import io.fireflywalk.core.admission.QueueDecision.Reason;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Requests of one service that wait at one instance for a free place at a target. A request waits only while all targets
 * look full, and only for as long as the wait is useful to its caller: for a fraction of what is left until its
 * objective, or longer if the observed rate of completions says that its turn comes in time.
 *
 * <p>Requests are admitted by the priority of their account, then of their route, then by whether they can still be on
 * time, and among equal ones by the time of their objective, which is moved back for accounts above their share. A kind
 * of requests that has been passed over several times gets one place, so that none waits for ever.
 *
 * <p>The estimate of free places is noisy: an instance sees a small part of the load. A wait therefore ends early with
 * the request being sent, unless the targets reject the requests of this instance at least as often as they complete
 * them.
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
    /** One rejection counts for about a second. */
    private static final double MINIMUM_REJECTIONS = 0.6;
    /** A kind that has been passed over so often gets the next place, which is a share of a ninth. */
    private static final int MAXIMUM_PASSED_OVER = 8;

    private final AdmissionSettings settings;
    private final AccountDeficits deficits;
    private final List<Entry> waiting = new ArrayList<>();
    private final Map<Kind, Integer> passedOver = new HashMap<>();
    private final CompletionRate rejections = new CompletionRate();

    /** Creates a queue with the bounds and the share limits of the settings. */
    public WaitQueue(AdmissionSettings settings) {
        this.settings = settings;
        this.deficits = new AccountDeficits(settings);
    }

    /** Urgency of requests; equally urgent ones are ordered by their objective and their account. */
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

    /** Requests that share places among each other: those of one urgency and objective. */
    private record Kind(Urgency urgency, long objectiveNanoseconds) {
        private static final Comparator<Kind> ORDER =
                Comparator.comparing(Kind::urgency).thenComparingLong(Kind::objectiveNanoseconds);

        static Kind of(WaitingRequest request, long now) {
            return new Kind(Urgency.of(request, now), request.objectiveNanoseconds());
        }
    }

    private record Entry(WaitingRequest request, long waitsUntil) {}

    /** Decision on a request, with its longest wait and the request that it displaces if it is queued. */
    private record Assessment(QueueDecision decision, long waitNanoseconds, Optional<Entry> displaced) {
        Assessment(QueueDecision decision) {
            this(decision, 0, Optional.empty());
        }
    }

    /**
     * Decision that a request would get.
     *
     * @param position position that the request would have in the queue; 1 is the first
     */
    public record Evaluation(QueueDecision decision, int position) {}

    /** Returns the number of waiting requests. */
    public int size() {
        return waiting.size();
    }

    /** Records that a target rejected a request because it is full. */
    public void recordRejection(long now) {
        rejections.record(now);
    }

    /**
     * Decides on a request that arrives or that returns after a target has rejected it. Another request may be displaced
     * by it, so there is more than one decision at times; the last one is that on the request.
     */
    public List<QueueDecision> offer(WaitingRequest request, Places places, long now) {
        deficits.markActive(request.account(), now);
        Assessment assessment = assess(request, places, now);
        QueueDecision decision = assessment.decision();
        if (decision.outcome().state() == State.QUEUED) {
            return enqueue(request, assessment, now);
        }
        if (decision.outcome().state() == State.ADMITTED && decision.reason() != Reason.NO_TARGETS) {
            deficits.charge(request.account(), request.cost(), now);
        }
        return List.of(decision);
    }

    private List<QueueDecision> enqueue(WaitingRequest request, Assessment assessment, long now) {
        List<QueueDecision> decisions = new ArrayList<>();
        assessment.displaced().ifPresent(last -> {
            waiting.remove(last);
            decisions.add(QueueDecision.refused(last.request().id(), Reason.DISPLACED));
        });
        waiting.add(new Entry(request, now + assessment.waitNanoseconds()));
        decisions.add(assessment.decision());
        return decisions;
    }

    /** Returns the decision that {@link #offer} would make, and changes nothing. */
    public Evaluation evaluate(WaitingRequest request, Places places, long now) {
        return new Evaluation(assess(request, places, now).decision(), position(request, now));
    }

    private Assessment assess(WaitingRequest request, Places places, long now) {
        if (places.targets() == 0) {
            return new Assessment(QueueDecision.admitted(request.id(), Reason.NO_TARGETS));
        }
        if (places.free() > waiting.size() && request.earliestAt() <= now) {
            return new Assessment(QueueDecision.admitted(request.id(), Reason.PLACE_FREE));
        }
        long expected = expectedWait(request, places.completionsPerSecond(), now);
        if (cannotBeServed(request, expected, places, now)) {
            return new Assessment(QueueDecision.refused(request.id(), Reason.DEADLINE, expected));
        }
        long wait = usefulWait(request, expected, places, now);
        if (wait < MINIMUM_WAIT_NANOSECONDS) {
            return new Assessment(decisionAfterWait(request, places, now));
        }
        return assessEntry(new Entry(request, now + wait), wait, expected, now);
    }

    private Assessment assessEntry(Entry entry, long wait, long expected, long now) {
        WaitingRequest request = entry.request();
        long ofAccount = waiting.stream()
                .filter(other -> other.request().account().equals(request.account()))
                .count();
        if (ofAccount >= settings.queuedPerAccount()) {
            return new Assessment(QueueDecision.refused(request.id(), Reason.QUEUE_LIMIT));
        }
        Optional<Entry> displaced = Optional.empty();
        if (waiting.size() >= settings.queuedTotal()) {
            Entry last = waiting.stream().max(order(now)).orElseThrow();
            if (order(now).compare(entry, last) >= 0) {
                return new Assessment(QueueDecision.refused(request.id(), Reason.QUEUE_LIMIT));
            }
            displaced = Optional.of(last);
        }
        return new Assessment(QueueDecision.queued(request.id(), expected), wait, displaced);
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
        for (int place = 0; place < Math.max(places.free(), completions); place++) {
            Optional<Entry> next = next(now);
            if (next.isEmpty()) {
                break;
            }
            waiting.remove(next.get());
            Reason reason = place < places.free() ? Reason.PLACE_FREE : Reason.COMPLETION;
            decisions.add(admit(next.get().request(), reason, now));
        }
        for (Entry entry : remove(entry -> entry.waitsUntil() <= now)) {
            decisions.add(endWait(entry.request(), places, now));
        }
        return decisions;
    }

    /** Removes a request whose caller has left or that has been answered otherwise; returns false if it is not queued. */
    public boolean cancel(long id) {
        return waiting.removeIf(entry -> entry.request().id() == id);
    }

    /** Returns the time until the turn of the request at the observed rate, or -1 if no drain is observed. */
    private long expectedWait(WaitingRequest request, double completionsPerSecond, long now) {
        if (completionsPerSecond <= 0) {
            return -1;
        }
        return (long) (position(request, now) / completionsPerSecond * NANOSECONDS_PER_SECOND);
    }

    /** Returns the position of a request after the waiting ones that are at least as urgent. */
    private int position(WaitingRequest request, long now) {
        Urgency urgency = Urgency.of(request, now);
        long ahead = waiting.stream()
                .filter(entry -> Urgency.of(entry.request(), now).compareTo(urgency) <= 0)
                .count();
        return (int) ahead + 1;
    }

    /**
     * Tells whether the deadline passes before the response by the usual time of the route alone, or with the wait if the
     * targets' own queues are full. Without a drain nothing is known, and the usual time may be out of date.
     */
    private boolean cannotBeServed(WaitingRequest request, long expectedWait, Places places, long now) {
        long wait = isRejecting(places, now) ? expectedWait : 0;
        return expectedWait >= 0 && request.spareForDeadline(now) < wait;
    }

    /** Returns the longest time for which it is useful to wait. */
    private long usefulWait(WaitingRequest request, long expectedWait, Places places, long now) {
        long untilObjective = request.spareForObjective(now);
        long untilDeadline = Math.max(0, request.spareForDeadline(now));
        long fraction = Math.min(Math.max(0, (long) (untilObjective * WAIT_FRACTION)), untilDeadline);
        if (expectedWait < 0 || !isRejecting(places, now)) {
            return fraction;
        }
        long tolerated = (long) (expectedWait * WAIT_TOLERANCE);
        return expectedWait <= untilObjective
                ? Math.max(fraction, Math.min(untilObjective, tolerated))
                : Math.min(untilDeadline, tolerated);
    }

    /** Tells whether targets reject the requests of this instance at least as often as they complete them. */
    private boolean isRejecting(Places places, long now) {
        return rejections.events(now) >= MINIMUM_REJECTIONS
                && rejections.uncertainPerSecond(now) >= places.completionsPerSecond();
    }

    /** Sends a request whose wait is over to a target's own queue, unless those are full as well. */
    private QueueDecision endWait(WaitingRequest request, Places places, long now) {
        QueueDecision decision = decisionAfterWait(request, places, now);
        if (decision.outcome().state() == State.ADMITTED) {
            deficits.charge(request.account(), request.cost(), now);
        }
        return decision;
    }

    private QueueDecision decisionAfterWait(WaitingRequest request, Places places, long now) {
        return isRejecting(places, now)
                ? QueueDecision.refused(request.id(), Reason.WAIT_OVER)
                : QueueDecision.admitted(request.id(), Reason.WAIT_OVER);
    }

    private QueueDecision admit(WaitingRequest request, Reason reason, long now) {
        deficits.charge(request.account(), request.cost(), now);
        return QueueDecision.admitted(request.id(), reason);
    }

    private Optional<Entry> next(long now) {
        List<Entry> ready = waiting.stream()
                .filter(entry -> entry.request().earliestAt() <= now)
                .toList();
        Set<Kind> kinds =
                ready.stream().map(entry -> Kind.of(entry.request(), now)).collect(Collectors.toSet());
        passedOver.keySet().retainAll(kinds);
        Optional<Kind> overdue = passedOver.entrySet().stream()
                .filter(entry -> entry.getValue() >= MAXIMUM_PASSED_OVER)
                .max(Map.Entry.<Kind, Integer>comparingByValue()
                        .thenComparing(Map.Entry::getKey, Kind.ORDER.reversed()))
                .map(Map.Entry::getKey);
        Optional<Entry> chosen = ready.stream()
                .filter(entry ->
                        overdue.isEmpty() || Kind.of(entry.request(), now).equals(overdue.get()))
                .min(order(now));
        chosen.map(entry -> Kind.of(entry.request(), now)).ifPresent(kind -> {
            passedOver.remove(kind);
            kinds.remove(kind);
            kinds.forEach(other -> passedOver.merge(other, 1, Integer::sum));
        });
        return chosen;
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
