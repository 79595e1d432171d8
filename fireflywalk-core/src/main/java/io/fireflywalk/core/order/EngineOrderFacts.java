package io.fireflywalk.core.order;

import io.fireflywalk.core.configuration.OrderChecking;
import java.util.Optional;
import java.util.Set;

/**
 * What the holder of a pool knows when it decides on a pending order.
 *
 * @param checking whether the engine checks fencing tokens
 * @param incarnation incarnation of this process
 * @param token fencing token under which this process holds the pool
 * @param state engine state, read after everything else here was learned; empty if the engine does not answer
 * @param acceptedIncarnation engine incarnation that accepted this order from this process under this token, if any
 * @param barrierIncarnation engine incarnation that accepted a barrier against this order from this process under this
 *     token, if any
 * @param ownSendsQuiet true if the delivery bound has passed since this process's last send, so that neither a delayed
 *     nor a duplicated copy can still arrive
 * @param ended incarnations proven to have ended at least the delivery bound ago
 * @param silentForLong true if the engine has not settled the order within the replacement limit
 */
public record EngineOrderFacts(
        OrderChecking checking,
        String incarnation,
        long token,
        Optional<EngineState> state,
        Optional<String> acceptedIncarnation,
        Optional<String> barrierIncarnation,
        boolean ownSendsQuiet,
        Set<String> ended,
        boolean silentForLong) {

    public EngineOrderFacts {
        ended = Set.copyOf(ended);
    }
}
