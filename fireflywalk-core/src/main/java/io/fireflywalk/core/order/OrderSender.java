package io.fireflywalk.core.order;

/**
 * Process that may have sent an order. It is stored before its first send.
 *
 * @param incarnation incarnation of the process
 * @param token fencing token under which it sends
 * @param closed true once it has stored that none of its sends is in transit and that it will not send again
 */
public record OrderSender(String incarnation, long token, boolean closed) {}
