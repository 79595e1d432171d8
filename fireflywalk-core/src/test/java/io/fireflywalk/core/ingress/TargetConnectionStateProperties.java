package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.TargetConnectionState.Decision;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.WithNull;

/** Guards against a second response to an earlier request that is taken for the response to the request in progress. */
class TargetConnectionStateProperties {
    private static final int MAXIMUM_EXTRA_RESPONSES = 16;
    private static final int MAXIMUM_EXTRA_BYTES = 65_536;

    private static Decision respond(TargetConnectionState state, int status, Optional<String> identifier) {
        Decision decision = state.responseHead(status, identifier);
        if (decision != Decision.CLOSE) {
            assertEquals(decision, state.responseBody(1));
        }
        state.responseEnd();
        return decision;
    }

    /** Each element is the number of requests by which an extra response is late; some come before their request's. */
    @Property
    void eachRequestGetsItsOwnResponseAmongLateCopiesOfEarlierOnes(
            @ForAll @Size(max = 20) List<@Size(max = 4) List<@IntRange(max = 30) Integer>> lateCopies) {
        TargetConnectionState state = new TargetConnectionState(1);
        List<String> sent = new ArrayList<>();
        for (List<Integer> copies : lateCopies) {
            boolean idleCopies = copies.size() % 2 == 1 && !sent.isEmpty();
            if (idleCopies) {
                assertEquals(Decision.DISCARD, respond(state, 200, Optional.of(sent.get(sent.size() - 1))));
            }
            String identifier = "attempt-" + sent.size();
            assertTrue(state.accepts(identifier));
            state.requestSent(Optional.of(identifier), false);
            for (int late : copies) {
                if (late < sent.size()) {
                    String earlier = sent.get(sent.size() - 1 - late);
                    assertEquals(Decision.DISCARD, respond(state, 200, Optional.of(earlier)));
                    assertFalse(state.accepts(earlier));
                }
            }
            assertEquals(Decision.DELIVER, respond(state, 200, Optional.of(identifier)));
            sent.add(identifier);
        }
    }

    @Property
    void responseThatMayAnswerTheRequestIsDelivered(
            @ForAll @IntRange(min = 200, max = 599) int status, @ForAll @WithNull(0.5) String unknown) {
        TargetConnectionState state = new TargetConnectionState(1);
        state.requestSent(Optional.of("attempt"), false);
        Optional<String> identifier = Optional.ofNullable(unknown);
        assertEquals(Decision.DELIVER, respond(state, status, identifier));
        // The request has its response, so the same one again belongs to none.
        assertEquals(Decision.CLOSE, respond(state, status, identifier));
    }

    @Property
    void extraResponsesWithoutEndCloseTheConnection(@ForAll @IntRange(min = 1, max = MAXIMUM_EXTRA_BYTES) int bytes) {
        TargetConnectionState state = new TargetConnectionState(1);
        state.requestSent(Optional.of("first"), false);
        respond(state, 200, Optional.of("first"));
        state.requestSent(Optional.of("second"), false);
        int responses = 0;
        int total = 0;
        Decision decision = Decision.DISCARD;
        while (decision == Decision.DISCARD) {
            decision = state.responseHead(200, Optional.of("first"));
            responses++;
            if (decision == Decision.DISCARD) {
                decision = state.responseBody(bytes);
                total += bytes;
            }
            state.responseEnd();
        }
        assertEquals(Decision.CLOSE, decision);
        assertTrue(responses == MAXIMUM_EXTRA_RESPONSES + 1 || total > MAXIMUM_EXTRA_BYTES);
        assertTrue(total - bytes <= MAXIMUM_EXTRA_BYTES);
    }
}
