package io.fireflywalk.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.admission.AdmissionDecision.State;
import io.fireflywalk.core.admission.PlaceEstimate.Places;
import io.fireflywalk.core.admission.QueueDecision.Reason;
import io.fireflywalk.core.error.ErrorKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that wait in vain, in the wrong order, without a bound or without a decision. */
class WaitQueueTest {
    private static final long MILLISECOND = 1_000_000L;
    private static final long OBJECTIVE = 260 * MILLISECOND;
    private static final long DEADLINE = 3_100 * MILLISECOND;

    private final WaitQueue queue = new WaitQueue(AdmissionSettings.requestQueue());

    private static Places places(int free, double rate) {
        return new Places(4, free, rate);
    }

    private static WaitingRequest request(long id, String account, int priority, int route, long at, long objective) {
        long due = at + objective;
        return new WaitingRequest(id, account, priority, route, 1, 0, at, objective, due, at + DEADLINE, 0, 0);
    }

    private static WaitingRequest request(long id, long arrivedAt) {
        return request(id, "account", 0, 0, arrivedAt, OBJECTIVE);
    }

    private QueueDecision offer(WaitingRequest request, Places places) {
        List<QueueDecision> decisions = queue.offer(request, places, request.rankedAt());
        return decisions.get(decisions.size() - 1);
    }

    private List<Long> releaseAll(long now) {
        List<Long> order = new ArrayList<>();
        while (queue.size() > 0) {
            queue.release(places(1, 0), 0, now)
                    .forEach(decision -> order.add(decision.outcome().id()));
        }
        return order;
    }

    /** Guards against a delay at a service that has places. */
    @Test
    void requestIsSentAtOnceIfAPlaceIsFreeOrNoTargetIsLeft() {
        assertEquals(Reason.PLACE_FREE, offer(request(1, 0), places(1, 0)).reason());
        assertEquals(State.QUEUED, offer(request(2, 0), places(0, 0)).outcome().state());
        assertEquals(
                Reason.NO_TARGETS,
                queue.release(new Places(0, 0, 0), 0, MILLISECOND).get(0).reason());
        assertEquals(
                Reason.NO_TARGETS, offer(request(3, 0), new Places(0, 0, 0)).reason());
    }

    /** Guards against a wait that takes the whole objective, and against a refusal where a target's queue has room. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void waitEndsAtHalfOfTheObjectiveIfNoDrainIsKnown(boolean rejected) {
        offer(request(1, 0), places(0, 0));
        if (rejected) {
            queue.recordRejection(MILLISECOND);
        }
        assertTrue(queue.release(places(0, 0), 0, OBJECTIVE / 2 - 1).isEmpty());
        AdmissionDecision decision =
                queue.release(places(0, 0), 0, OBJECTIVE / 2).get(0).outcome();
        assertEquals(rejected ? State.REFUSED : State.ADMITTED, decision.state());
        assertEquals(rejected ? Optional.of(ErrorKind.NO_PLACE) : Optional.empty(), decision.refusal());
    }

    /**
     * Guards against holding a request that cannot be served in time, and against refusing one that can: 10 requests
     * wait, targets reject as many requests as they complete, or none, and the instance's own requests complete at the
     * given rate.
     */
    @ParameterizedTest
    @CsvSource({
        "true, 3, REFUSED, 0",
        "true, 5, QUEUED, 3100",
        "true, 100, QUEUED, 220",
        "true, 1000, QUEUED, 130",
        "false, 3, QUEUED, 130"
    })
    void drainRateDecidesWhetherAndHowLongARequestWaits(
            boolean rejecting, double rate, State state, long waitMilliseconds) {
        for (int id = 0; id < 10; id++) {
            offer(request(id, 0), places(0, 1e9));
        }
        for (int rejection = 0; rejecting && rejection < 3 * rate; rejection++) {
            queue.recordRejection(0);
        }
        AdmissionDecision decision = offer(request(10, 0), places(0, rate)).outcome();
        assertEquals(state, decision.state());
        if (state == State.REFUSED) {
            assertEquals(Optional.of(ErrorKind.DEADLINE_UNREACHABLE), decision.refusal());
        } else {
            assertEquals(waitMilliseconds, waitOf(10));
        }
    }

    private long waitOf(long id) {
        return LongStream.rangeClosed(0, DEADLINE / MILLISECOND)
                .filter(now -> queue.release(places(0, 0), 0, now * MILLISECOND).stream()
                        .anyMatch(decision -> decision.outcome().id() == id))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against short prompts behind long ones, and urgent accounts behind others, in a wave of long prompts. */
    @Test
    void orderIsAccountPriorityThenRoutePriorityThenTimeOfTheObjective() {
        long now = 50 * MILLISECOND;
        offer(request(1, "a", 0, 1, 0, 1_227 * MILLISECOND), places(0, 0));
        offer(request(2, "a", 0, 0, 20 * MILLISECOND, OBJECTIVE), places(0, 0));
        offer(request(3, "a", 0, 0, 10 * MILLISECOND, OBJECTIVE), places(0, 0));
        offer(request(4, "b", 1, 0, 0, OBJECTIVE), places(0, 0));
        offer(request(5, "a", 0, 0, 0, 100 * MILLISECOND), places(0, 0));
        assertEquals(List.of(5L, 3L, 2L, 1L, 4L), releaseAll(now));
    }

    /** Guards against a request that is sent from one full target to the next without a pause. */
    @Test
    void requestIsNotAdmittedBeforeItsEarliestTime() {
        WaitingRequest rejected =
                new WaitingRequest(1, "a", 0, 0, 1, 50 * MILLISECOND, 0, OBJECTIVE, OBJECTIVE, DEADLINE, 0, 0);
        assertEquals(State.QUEUED, offer(rejected, places(9, 0)).outcome().state());
        assertTrue(queue.release(places(9, 0), 0, 50 * MILLISECOND - 1).isEmpty());
        assertEquals(1, queue.release(places(9, 0), 0, 50 * MILLISECOND).size());
    }

    /** Guards against a kind that gets no place for as long as a more urgent kind keeps the queue filled. */
    @Test
    void lessUrgentKindGetsANinthOfThePlacesDuringALongSurge() {
        int longPrompts = 0;
        for (int id = 0; id < 900; id++) {
            offer(request(10_000 + id, "a", 0, 1, 0, 100 * DEADLINE), places(0, 0));
            offer(request(id, "b", 0, 0, 0, OBJECTIVE), places(0, 0));
            long released = queue.release(places(1, 0), 0, 0).get(0).outcome().id();
            longPrompts += released >= 10_000 ? 1 : 0;
        }
        assertEquals(100, longPrompts, 2);
    }

    /** Guards against an account that sends much more than the others and delays these. */
    @Test
    void requestsOfAFloodingAccountAreBehindThoseOfOthers() {
        for (int id = 0; id < 60; id++) {
            offer(request(id, "flood", 0, 0, 0, OBJECTIVE), places(100, 0));
        }
        for (int id = 100; id < 140; id++) {
            offer(request(id, "flood", 0, 0, 0, OBJECTIVE), places(0, 0));
        }
        for (int id = 200; id < 205; id++) {
            offer(request(id, "account-" + id, 0, 0, 60 * MILLISECOND, OBJECTIVE), places(0, 0));
        }
        List<Long> first = releaseAll(60 * MILLISECOND).subList(0, 5);
        assertTrue(first.stream().allMatch(id -> id >= 200), first.toString());
    }

    /** Guards against a queue without bound, and against an urgent request that is refused in favour of others. */
    @Test
    void queueIsBoundedPerAccountAndInTotal() {
        AdmissionSettings settings = AdmissionSettings.requestQueue();
        IntStream.range(0, 1_000)
                .forEach(id -> offer(request(id, "account-" + id % 10, 0, 1, 0, OBJECTIVE), places(0, 0)));
        assertEquals(settings.queuedTotal(), queue.size());
        List<QueueDecision> decisions = queue.offer(request(5_000, "urgent", 0, 0, 0, OBJECTIVE), places(0, 0), 0);
        assertEquals(
                List.of(Reason.DISPLACED, Reason.TARGETS_FULL),
                decisions.stream().map(QueueDecision::reason).toList());
        releaseAll(0);
        IntStream.range(0, 1_000).forEach(id -> offer(request(id, 0), places(0, 0)));
        assertEquals(settings.queuedPerAccount(), queue.size());
    }

    /** Guards against an explanation that differs from the decision, or that changes the queue or an account's share. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void evaluationIsTheDecisionAndChangesNothing(long seed) {
        Random random = new Random(seed);
        WaitQueue untouched = new WaitQueue(AdmissionSettings.requestQueue());
        for (int id = 0; id < 900; id++) {
            long now = id * MILLISECOND;
            Places places = new Places(random.nextInt(50) == 0 ? 0 : 4, random.nextInt(300), random.nextInt(3));
            WaitingRequest request = request(id, "account" + random.nextInt(9), 0, random.nextInt(3), now, OBJECTIVE);
            WaitQueue.Evaluation evaluation = queue.evaluate(request, places, now);
            queue.evaluate(request(id, "unknown" + id, 0, 0, now, OBJECTIVE), places, now);
            List<QueueDecision> decisions = queue.offer(request, places, now);
            assertEquals(decisions.get(decisions.size() - 1), evaluation.decision());
            assertTrue(evaluation.position() >= 1 && evaluation.position() <= queue.size() + 1);
            assertEquals(untouched.offer(request, places, now), decisions);
            if (random.nextInt(100) == 0) {
                queue.recordRejection(now);
                untouched.recordRejection(now);
            }
            if (random.nextInt(20) == 0) {
                assertEquals(untouched.release(places, 0, now), queue.release(places, 0, now));
            }
        }
    }
}
