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

/** Guards against partial events that reach a caller before a stream is interrupted and resumed on another target. */
class SseEventSplitterProperties {

    @Property(tries = 200)
    void anyChunkingOfTheStreamYieldsCompleteEvents(
            @ForAll @IntRange(min = 1, max = 20) int events, @ForAll long seed) {
        StringBuilder text = new StringBuilder();
        for (int index = 1; index <= events; index++) {
            text.append("id: ").append(index).append("\ndata: token\n\n");
        }
        Buffer all = Buffer.buffer(text.toString());
        Random random = new Random(seed);
        SseEventSplitter framer = new SseEventSplitter();
        Buffer output = Buffer.buffer();
        int at = 0;
        while (at < all.length()) {
            int end = Math.min(all.length(), at + 1 + random.nextInt(30));
            Buffer complete = framer.accept(all.getBuffer(at, end));
            assertTrue(complete.length() == 0 || complete.toString().endsWith("\n\n"));
            output.appendBuffer(complete);
            at = end;
        }
        assertEquals(all, output);
        assertTrue(framer.atEventBoundary());
        assertEquals(Optional.of(Integer.toString(events)), framer.lastEventIdentifier());
    }

    @Example
    void discardedPartialEventIsNotPrependedToTheResumedStream() {
        SseEventSplitter framer = new SseEventSplitter();
        assertEquals(
                "id: 1\ndata: a\n\n",
                framer.accept(Buffer.buffer("id: 1\ndata: a\n\nid: 2\nda")).toString());
        framer.discardPartial();
        assertEquals(
                "id: 2\ndata: b\n\n",
                framer.accept(Buffer.buffer("id: 2\ndata: b\n\n")).toString());
        assertEquals(Optional.of("2"), framer.lastEventIdentifier());
    }
}
