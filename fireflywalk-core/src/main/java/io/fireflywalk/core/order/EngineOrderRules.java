package io.fireflywalk.core.order;

import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.order.EngineOrderIntent.Status;

/**
 * Decides the next step for a pending engine order, whether this process or another one sent it. A new order may follow
 * only after the pending one is settled, which means that no copy of it can take effect any more. Stateless.
 */
public final class EngineOrderRules {
    private EngineOrderRules() {}

    /** Next step for a pending order. */
    public enum Step {
        /** Store this process as a sender of the same order, then send it. */
        JOIN_AND_SEND,
        /** Send the order again. */
        SEND,
        /** Send a barrier, an order without assignment, under this process's token. */
        SEND_BARRIER,
        /** Store that this process has no send in transit and will not send the order again. */
        CLOSE,
        /** Store that the engine may receive requests again, although the order is not settled yet. */
        RETURN_TO_ROTATION,
        /** Store that the order has taken effect. */
        SETTLE_EFFECTIVE,
        /** Store that the order has no effect and can no longer take effect. */
        SETTLE_WITHOUT_EFFECT,
        /** Wait for the engine, for the end of another sender, or until the maximum delivery time has passed. */
        WAIT,
        /** Take the engine out of rotation permanently and have it replaced. */
        REPLACE
    }

    public static Step next(EngineOrderIntent intent, EngineOrderFacts facts) {
        if (intent.status() != Status.PENDING) {
            throw new IllegalArgumentException("order is already settled: " + intent.orderId());
        }
        if (facts.state().isEmpty()) {
            return facts.settlingTimedOut() ? Step.REPLACE : Step.WAIT;
        }
        EngineState state = facts.state().get();
        if (state.changing()) {
            return facts.settlingTimedOut() ? Step.REPLACE : Step.WAIT;
        }
        boolean effective = state.assignment().equals(intent.assignment());
        return facts.checking() == OrderChecking.CHECKS_FENCING_TOKEN
                ? nextWithTokens(intent, facts, state, effective)
                : nextWithoutTokens(intent, facts, effective);
    }

    /**
     * The engine rejects a lower token, a lower generation under the same token, and an order meant for another
     * incarnation. A barrier has a higher generation than the order, so it also fences off this process's own copies.
     */
    private static Step nextWithTokens(
            EngineOrderIntent intent, EngineOrderFacts facts, EngineState state, boolean effective) {
        boolean barrierAccepted =
                facts.barrierIncarnation().filter(state.incarnation()::equals).isPresent();
        boolean orderAccepted =
                facts.acceptedIncarnation().filter(state.incarnation()::equals).isPresent();
        if (effective) {
            return barrierAccepted || orderAccepted ? Step.SETTLE_EFFECTIVE : Step.SEND_BARRIER;
        }
        if (barrierAccepted) {
            return Step.SETTLE_WITHOUT_EFFECT;
        }
        boolean ownSenderOpen = intent.hasOpenSender(facts.incarnation(), facts.token());
        return ownSenderOpen && !facts.settlingTimedOut() ? Step.SEND : Step.SEND_BARRIER;
    }

    /** The engine accepts every order, so every sender must have closed or ended before the order is settled. */
    private static Step nextWithoutTokens(EngineOrderIntent intent, EngineOrderFacts facts, boolean effective) {
        if (!effective) {
            if (facts.settlingTimedOut()) {
                return Step.REPLACE;
            }
            return intent.hasOpenSender(facts.incarnation(), facts.token()) ? Step.SEND : Step.JOIN_AND_SEND;
        }
        if (!intent.inRotation()) {
            return Step.RETURN_TO_ROTATION;
        }
        boolean othersClosed = intent.senders().stream()
                .filter(sender -> !sender.incarnation().equals(facts.incarnation()))
                .allMatch(sender -> sender.closed() || facts.endedSenders().contains(sender.incarnation()));
        if (facts.ownSendsDelivered() && othersClosed) {
            return Step.SETTLE_EFFECTIVE;
        }
        boolean ownSenderOpen = intent.senders().stream()
                .anyMatch(sender -> sender.incarnation().equals(facts.incarnation()) && !sender.closed());
        if (facts.ownSendsDelivered() && ownSenderOpen) {
            return Step.CLOSE;
        }
        return Step.WAIT;
    }
}
