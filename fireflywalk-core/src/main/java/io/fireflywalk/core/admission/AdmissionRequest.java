package io.fireflywalk.core.admission;

/**
 * Properties of a request that admission control uses.
 *
 * @param id identifier, unique within the instance
 * @param accountIndex index of the client account
 * @param cost expected work in weighted tokens
 * @param expectedSeconds expected time from admission to the complete response on an idle fleet
 * @param deadline monotonic time in nanoseconds by which the response must be complete
 * @param maximumQueueSeconds longest queueing time after which a response is still useful
 */
public record AdmissionRequest(
        long id, int accountIndex, double cost, double expectedSeconds, long deadline, double maximumQueueSeconds) {}
