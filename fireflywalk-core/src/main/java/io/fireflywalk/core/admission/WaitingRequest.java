package io.fireflywalk.core.admission;

/**
 * A request that asks for a place at a target. Times are monotonic nanoseconds.
 *
 * @param id identifier, unique within the instance
 * @param account client account; empty if the request has none
 * @param accountPriority priority of the client account; 0 is the highest
 * @param routePriority priority of the route; 0 is the highest
 * @param cost expected work, in a unit that is the same for all requests of the service
 * @param earliestAt time before which it is not admitted, because targets have just rejected it several times
 * @param rankedAt time that ranks the request within its priority: its arrival, or that of the refused request of which
 *     it is a repeat
 * @param objectiveNanoseconds time from the arrival within which the response should start
 * @param objectiveAt time by which the response should start
 * @param deadlineAt time by which the response must be complete
 * @param expectedStartNanoseconds expected time from the dispatch to the start of the response; 0 if not known
 * @param expectedNanoseconds expected time from the dispatch to the complete response; 0 if not known
 */
public record WaitingRequest(
        long id,
        String account,
        int accountPriority,
        int routePriority,
        double cost,
        long earliestAt,
        long rankedAt,
        long objectiveNanoseconds,
        long objectiveAt,
        long deadlineAt,
        long expectedStartNanoseconds,
        long expectedNanoseconds) {

    /** Returns the time that the request can wait and still be on time; negative if it cannot. */
    long spareForObjective(long now) {
        return objectiveAt - now - expectedStartNanoseconds;
    }

    /** Returns the time that the request can wait and still be complete before its deadline; negative if it cannot. */
    long spareForDeadline(long now) {
        return deadlineAt - now - expectedNanoseconds;
    }
}
