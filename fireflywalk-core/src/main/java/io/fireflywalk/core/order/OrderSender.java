package io.fireflywalk.core.order;

/**
 * Process that may have sent an order. It is recorded before its first send.
 *
 * @param incarnation incarnation of the process
 * @param token token under which it sent
 * @param closed true once it has recorded that none of its sends is under way and that it will not send again
 */
public record OrderSender(String incarnation, long token, boolean closed) {}
