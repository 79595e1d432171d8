package io.fireflywalk.core.admission;

/**
 * What admission knows of a request.
 *
 * @param id identifier, unique at the instance
 * @param account number of the client account
 * @param cost expected work in weighted tokens
 * @param expectedSeconds expected time from admission to the complete answer, if the fleet is idle
 * @param deadline monotonic time in nanoseconds by which the answer has to be complete
 * @param toleranceSeconds longest time in the queue after which an answer is still of use
 */
public record AdmissionRequest(
        long id, int account, double cost, double expectedSeconds, long deadline, double toleranceSeconds) {}
