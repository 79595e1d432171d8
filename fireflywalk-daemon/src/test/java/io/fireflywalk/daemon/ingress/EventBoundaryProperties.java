package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against parts of events that reach a caller before a stream breaks off and goes on elsewhere. */
class EventBoundaryProperties {

    @Property(tries = 200)
    void anySplitOfTheBytesGivesWholeEvents(@ForAll @IntRange(min = 1, max = 20) int events, @ForAll long seed) {
        StringBuilder text = new StringBuilder();
        for (int index = 1; index <= events; index++) {
            text.append("id: ").append(index).append("\ndata: token\n\n");
        }
        Buffer all = Buffer.buffer(text.toString());
        Random random = new Random(seed);
        EventBoundary boundary = new EventBoundary();
        Buffer passed = Buffer.buffer();
        int at = 0;
        while (at < all.length()) {
            int end = Math.min(all.length(), at + 1 + random.nextInt(30));
            Buffer whole = boundary.accept(all.getBuffer(at, end));
            assertTrue(whole.length() == 0 || whole.toString().endsWith("\n\n"));
            passed.appendBuffer(whole);
            at = end;
        }
        assertEquals(all, passed);
        assertTrue(boundary.atBoundary());
        assertEquals(Optional.of(Integer.toString(events)), boundary.lastIdentifier());
    }

    @Example
    void aDiscardedPartDoesNotReachTheContinuation() {
        EventBoundary boundary = new EventBoundary();
        assertEquals(
                "id: 1\ndata: a\n\n",
                boundary.accept(Buffer.buffer("id: 1\ndata: a\n\nid: 2\nda")).toString());
        boundary.discardPartial();
        assertEquals(
                "id: 2\ndata: b\n\n",
                boundary.accept(Buffer.buffer("id: 2\ndata: b\n\n")).toString());
        assertEquals(Optional.of("2"), boundary.lastIdentifier());
    }
}
