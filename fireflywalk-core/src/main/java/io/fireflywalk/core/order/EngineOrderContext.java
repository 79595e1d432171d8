package io.fireflywalk.core.order;

import io.fireflywalk.core.configuration.OrderChecking;
import java.util.Optional;
import java.util.Set;

/**
 * Input of the decision on a pending order by the process that holds the lease of the engine pool.
 *
 * @param checking whether the engine checks fencing tokens
 * @param incarnation incarnation of this process
 * @param token fencing token of the lease
 * @param state engine state, read after all other values here were obtained; empty if the engine does not respond
 * @param acceptedIncarnation engine incarnation that accepted this order from this process under this token, if any
 * @param barrierIncarnation engine incarnation that accepted a barrier against this order from this process under this
 *     token, if any
 * @param ownSendsDelivered true if the maximum delivery time has passed since this process's last send, so that neither
 *     a delayed nor a duplicated copy can still arrive
 * @param endedSenders incarnations proven to have ended at least the maximum delivery time ago
 * @param settlingTimedOut true if the order was not settled within the time after which the engine is replaced
 */
public record EngineOrderContext(
        OrderChecking checking,
        String incarnation,
        long token,
        Optional<EngineState> state,
        Optional<String> acceptedIncarnation,
        Optional<String> barrierIncarnation,
        boolean ownSendsDelivered,
        Set<String> endedSenders,
        boolean settlingTimedOut) {

    public EngineOrderContext {
        endedSenders = Set.copyOf(endedSenders);
    }
}
