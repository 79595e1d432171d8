package io.fireflywalk.core.order;

import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.order.EngineOrderIntent.Status;

/**
 * Decides what the holder of a pool does about a pending engine order, be it its own or another sender's. A new order
 * may follow only after the pending one is settled, which means that no copy of it can take effect any more. Stateless.
 */
public final class EngineOrderRules {
    private EngineOrderRules() {}

    /** What to do next. */
    public enum Step {
        /** Record this process as a sender of the same order, and then repeat it. */
        JOIN_AND_SEND,
        /** Send the same order again. */
        SEND,
        /** Send a barrier under this process's token. */
        SEND_BARRIER,
        /** Record that this process has no send under way and will send no more. */
        CLOSE,
        /** Record that the engine may get requests again, although the next order has to wait. */
        RETURN_TO_ROTATION,
        /** Record that the order has taken effect. */
        SETTLE_EFFECTIVE,
        /** Record that the order has no effect and can get none. */
        SETTLE_WITHOUT_EFFECT,
        /** Wait for the engine, for the end of another sender, or for the delivery bound. */
        WAIT,
        /** Take the engine out of rotation for good and have it replaced. */
        REPLACE
    }

    /** Returns the next step for a pending intent. */
    public static Step next(EngineOrderIntent intent, EngineOrderFacts facts) {
        if (intent.status() != Status.PENDING) {
            throw new IllegalArgumentException("order is settled: " + intent.orderId());
        }
        if (facts.state().isEmpty()) {
            return facts.silentForLong() ? Step.REPLACE : Step.WAIT;
        }
        EngineState state = facts.state().get();
        if (state.changing()) {
            return facts.silentForLong() ? Step.REPLACE : Step.WAIT;
        }
        boolean effective = state.assignment().equals(intent.assignment());
        return facts.checking() == OrderChecking.CHECKS_FENCING_TOKEN
                ? nextWithTokens(intent, facts, state, effective)
                : nextWithoutTokens(intent, facts, effective);
    }

    /**
     * The engine refuses a lower token, a lower generation under the same token, and an order meant for another
     * incarnation. A barrier has a higher generation than the order, so it also stops this process's own copies.
     */
    private static Step nextWithTokens(
            EngineOrderIntent intent, EngineOrderFacts facts, EngineState state, boolean effective) {
        boolean barrier =
                facts.barrierIncarnation().filter(state.incarnation()::equals).isPresent();
        boolean accepted =
                facts.acceptedIncarnation().filter(state.incarnation()::equals).isPresent();
        if (effective) {
            return barrier || accepted ? Step.SETTLE_EFFECTIVE : Step.SEND_BARRIER;
        }
        if (barrier) {
            return Step.SETTLE_WITHOUT_EFFECT;
        }
        boolean own = intent.hasOpenSender(facts.incarnation(), facts.token());
        return own && !facts.silentForLong() ? Step.SEND : Step.SEND_BARRIER;
    }

    /** The engine takes every order, so every sender must have closed or ended before the order counts as settled. */
    private static Step nextWithoutTokens(EngineOrderIntent intent, EngineOrderFacts facts, boolean effective) {
        if (!effective) {
            if (facts.silentForLong()) {
                return Step.REPLACE;
            }
            return intent.hasOpenSender(facts.incarnation(), facts.token()) ? Step.SEND : Step.JOIN_AND_SEND;
        }
        if (!intent.inRotation()) {
            return Step.RETURN_TO_ROTATION;
        }
        boolean othersClosed = intent.senders().stream()
                .filter(sender -> !sender.incarnation().equals(facts.incarnation()))
                .allMatch(sender -> sender.closed() || facts.ended().contains(sender.incarnation()));
        if (facts.ownSendsQuiet() && othersClosed) {
            return Step.SETTLE_EFFECTIVE;
        }
        boolean ownOpen = intent.senders().stream()
                .anyMatch(sender -> sender.incarnation().equals(facts.incarnation()) && !sender.closed());
        if (facts.ownSendsQuiet() && ownOpen) {
            return Step.CLOSE;
        }
        return Step.WAIT;
    }
}
