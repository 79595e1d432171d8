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

    public static Step next(EngineOrderIntent intent, EngineOrderContext context) {
        if (intent.status() != Status.PENDING) {
            throw new IllegalArgumentException("order is already settled: " + intent.orderId());
        }
        if (context.state().isEmpty()) {
            return context.settlingTimedOut() ? Step.REPLACE : Step.WAIT;
        }
        EngineState state = context.state().get();
        if (state.changing()) {
            return context.settlingTimedOut() ? Step.REPLACE : Step.WAIT;
        }
        boolean effective = state.assignment().equals(intent.assignment());
        return context.checking() == OrderChecking.CHECKS_FENCING_TOKEN
                ? nextWithTokens(intent, context, state, effective)
                : nextWithoutTokens(intent, context, effective);
    }

    /**
     * The engine rejects a lower token, a lower generation under the same token, and an order meant for another
     * incarnation. A barrier has a higher generation than the order, so it also fences off this process's own copies.
     */
    private static Step nextWithTokens(
            EngineOrderIntent intent, EngineOrderContext context, EngineState state, boolean effective) {
        boolean barrierAccepted =
                context.barrierIncarnation().filter(state.incarnation()::equals).isPresent();
        boolean orderAccepted = context.acceptedIncarnation()
                .filter(state.incarnation()::equals)
                .isPresent();
        if (effective) {
            return barrierAccepted || orderAccepted ? Step.SETTLE_EFFECTIVE : Step.SEND_BARRIER;
        }
        if (barrierAccepted) {
            return Step.SETTLE_WITHOUT_EFFECT;
        }
        boolean ownSenderOpen = intent.hasOpenSender(context.incarnation(), context.token());
        return ownSenderOpen && !context.settlingTimedOut() ? Step.SEND : Step.SEND_BARRIER;
    }

    /** The engine accepts every order, so every sender must have closed or ended before the order is settled. */
    private static Step nextWithoutTokens(EngineOrderIntent intent, EngineOrderContext context, boolean effective) {
        if (!effective) {
            if (context.settlingTimedOut()) {
                return Step.REPLACE;
            }
            return intent.hasOpenSender(context.incarnation(), context.token()) ? Step.SEND : Step.JOIN_AND_SEND;
        }
        if (!intent.inRotation()) {
            return Step.RETURN_TO_ROTATION;
        }
        boolean othersClosed = intent.senders().stream()
                .filter(sender -> !sender.incarnation().equals(context.incarnation()))
                .allMatch(sender -> sender.closed() || context.endedSenders().contains(sender.incarnation()));
        if (context.ownSendsDelivered() && othersClosed) {
            return Step.SETTLE_EFFECTIVE;
        }
        boolean ownSenderOpen = intent.senders().stream()
                .anyMatch(sender -> sender.incarnation().equals(context.incarnation()) && !sender.closed());
        if (context.ownSendsDelivered() && ownSenderOpen) {
            return Step.CLOSE;
        }
        return Step.WAIT;
    }
}
