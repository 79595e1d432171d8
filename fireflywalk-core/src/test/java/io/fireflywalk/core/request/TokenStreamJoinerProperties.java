package io.fireflywalk.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against missing or duplicate tokens and premature end markers in streams joined from several attempts. */
class TokenStreamJoinerProperties {
    private static final String ROLE_EVENT = "data: {\"role\"}\n\n";
    private static final String FINISH_EVENT = "data: {\"finish\"}\n\n";
    private static final String END_EVENT = "data: [DONE]\n\n";

    @Property
    void interruptedAttemptsJoinToCompleteStream(
            @ForAll @IntRange(min = 0, max = 30) int tokens,
            @ForAll @Size(max = 5) List<@IntRange(min = 0, max = 900) Integer> interruptionOffsets,
            @ForAll @IntRange(min = 1, max = 50) int chunkBytes) {
        TokenStreamJoiner joiner = joiner(10_000);
        StringBuilder received = new StringBuilder();
        for (int interruptionOffset : interruptionOffsets) {
            if (!joiner.complete()) {
                byte[] stream = stream((int) joiner.forwardedTokens(), tokens);
                feed(joiner, Arrays.copyOf(stream, Math.min(interruptionOffset, stream.length)), chunkBytes, received);
            }
        }
        if (!joiner.complete()) {
            feed(joiner, stream((int) joiner.forwardedTokens(), tokens), chunkBytes, received);
        }
        assertTrue(joiner.complete());
        assertEquals(tokens, joiner.forwardedTokens());
        String all = received + joiner.endingEvents();
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            String event = event(index);
            assertEquals(all.indexOf(event), all.lastIndexOf(event), "token passed twice");
            assertTrue(all.contains(event), "token missing");
            text.append("text" + index);
        }
        assertEquals(text.toString(), joiner.generatedText());
        assertTrue(all.endsWith(FINISH_EVENT + END_EVENT));
        assertEquals(all.indexOf(FINISH_EVENT), all.lastIndexOf(FINISH_EVENT));
    }

    @Property
    void outOfOrderTokenIsNeverForwarded(
            @ForAll @IntRange(min = 0, max = 10) int tokensBefore, @ForAll @IntRange(min = 0, max = 20) int index) {
        TokenStreamJoiner joiner = joiner(10_000);
        StringBuilder received = new StringBuilder();
        joiner.startAttempt();
        for (int next = 0; next < tokensBefore; next++) {
            received.append(joiner.accept(bytes(event(next))));
        }
        String output = joiner.accept(bytes(event(index) + FINISH_EVENT + END_EVENT));
        if (index == tokensBefore) {
            assertTrue(joiner.complete());
        } else {
            assertTrue(joiner.protocolError().isPresent());
            assertFalse(joiner.complete());
            assertEquals("", output);
        }
    }

    @Example
    void textBeyondMaximumIsDiscardedAndStreamIsNotResumable() {
        TokenStreamJoiner joiner = joiner(12);
        joiner.startAttempt();
        joiner.accept(bytes(event(0) + event(1)));
        assertTrue(joiner.resumable());
        joiner.accept(bytes(event(2)));
        assertFalse(joiner.resumable());
        assertEquals("", joiner.generatedText());
    }

    @Example
    void eventBeyondMaximumSizeIsFault() {
        TokenStreamJoiner joiner = joiner(10);
        joiner.startAttempt();
        joiner.accept(bytes("data: " + "x".repeat(2000)));
        assertTrue(joiner.protocolError().isPresent());
    }

    private static TokenStreamJoiner joiner(int resumeCharacters) {
        return new TokenStreamJoiner(TokenStreamJoinerProperties::textOf, 1000, resumeCharacters, 4);
    }

    private static Optional<String> textOf(String data) {
        return Optional.of(data.startsWith("text") ? data : "");
    }

    private static void feed(TokenStreamJoiner joiner, byte[] stream, int chunkBytes, StringBuilder received) {
        joiner.startAttempt();
        for (int start = 0; start < stream.length; start += chunkBytes) {
            received.append(
                    joiner.accept(Arrays.copyOfRange(stream, start, Math.min(stream.length, start + chunkBytes))));
        }
        assertEquals(Optional.empty(), joiner.protocolError());
    }

    private static byte[] stream(int first, int tokens) {
        StringBuilder stream = new StringBuilder(ROLE_EVENT);
        for (int index = first; index < tokens; index++) {
            stream.append(": comment\r\n\r\n").append(event(index));
        }
        return bytes(stream + FINISH_EVENT + END_EVENT);
    }

    private static String event(int index) {
        return "id: " + index + "\ndata: text" + index + "\n\n";
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
