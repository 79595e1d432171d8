package io.fireflywalk.services.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against chunk sizes that the HTTP library takes for smaller ones, and against refusing proper bodies. */
class ChunkSizeProperties {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final List<String> CONTENTS = List.of(
            "4",
            "\r\n",
            "\r\n\r\n",
            "body",
            "100000004",
            "100000004\r\n",
            "\r\n100000004\r\n",
            "0\r\n\r\n",
            "x".repeat(20000));
    private static final List<String> EXTENSIONS = List.of("", " ", ";a=b", ";100000004");
    private static final List<String> TRAILERS = List.of("", "a:\r\n", "100000004: a\r\n", "a: b\r\nabcdefabc: 4\r\n");
    private static final int MAX_DIGITS = 8;

    /** A chunk, whose size has the given number of digits at least. */
    record Chunk(String content, int digits, boolean capitals, String extension) {

        String text() {
            return size() + extension + "\r\n" + content + "\r\n";
        }

        /** The chunk with a size that 32 bits can't hold, or with one that is padded beyond eight digits. */
        String textWithLongSize(String prefix) {
            String size = "0".repeat(MAX_DIGITS) + size();
            return prefix + size.substring(size.length() - MAX_DIGITS) + extension + "\r\n" + content + "\r\n";
        }

        private String size() {
            String size = Integer.toHexString(content.length());
            String padded = "0".repeat(Math.max(0, digits - size.length())) + size;
            return capitals ? padded.toUpperCase(Locale.ROOT) : padded;
        }
    }

    /** What has been decoded until the first failure. */
    private record Decoded(String body, boolean ended, boolean failed) {}

    @Provide
    Arbitrary<Chunk> chunk() {
        return Combinators.combine(
                        Arbitraries.of(CONTENTS),
                        Arbitraries.integers().between(1, MAX_DIGITS),
                        Arbitraries.of(true, false),
                        Arbitraries.of(EXTENSIONS))
                .as(Chunk::new);
    }

    @Provide
    Arbitrary<String> trailers() {
        return Arbitraries.of(TRAILERS);
    }

    @Provide
    Arbitrary<String> prefix() {
        return Arbitraries.of("0", "1", "f", "F", "10", "100000000", " 1", "\t1", " ", "\u000b");
    }

    private static EmbeddedChannel channel() {
        return new EmbeddedChannel(new ResponseDecoder(
                DefaultHttpHeadersFactory.headersFactory(), Optional.of(() -> true), new ResponseCodec.Listener() {
                    @Override
                    public void onJoinedHead(String statusLine) {}

                    @Override
                    public void onUnfinishedResponse(int bytes) {}
                }));
    }

    /** Decodes a text that arrives in pieces of at most the given length. */
    private static Decoded decode(String text, int longest, Random random) {
        EmbeddedChannel channel = channel();
        int start = 0;
        while (start < text.length()) {
            int end = Math.min(text.length(), start + 1 + random.nextInt(longest));
            channel.writeInbound(Unpooled.copiedBuffer(text.substring(start, end), StandardCharsets.ISO_8859_1));
            start = end;
        }
        StringBuilder body = new StringBuilder();
        boolean ended = false;
        boolean failed = false;
        for (HttpObject next = channel.readInbound(); next != null; next = channel.readInbound()) {
            assertFalse(failed, "decoded behind a failure");
            failed = next.decoderResult().isFailure();
            ended |= next instanceof LastHttpContent && !failed;
            if (next instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            ReferenceCountUtil.release(next);
        }
        channel.finishAndReleaseAll();
        return new Decoded(body.toString(), ended, failed);
    }

    private static String join(List<Chunk> chunks) {
        StringBuilder text = new StringBuilder();
        chunks.forEach(chunk -> text.append(chunk.text()));
        return text.toString();
    }

    private static String contents(List<Chunk> chunks) {
        StringBuilder text = new StringBuilder();
        chunks.forEach(chunk -> text.append(chunk.content()));
        return text.toString();
    }

    @Property(tries = 1000)
    void properBodiesAreDecodedWhole(
            @ForAll @Size(max = 4) List<@From("chunk") Chunk> chunks,
            @ForAll("trailers") String trailers,
            @ForAll @IntRange(min = 1, max = 12000) int longest,
            @ForAll long seed) {
        String text = HEAD + join(chunks) + "0\r\n" + trailers + "\r\n";
        assertEquals(new Decoded(contents(chunks), true, false), decode(text, longest, new Random(seed)));
    }

    @Property(tries = 1000)
    void bodyEndsAtALongChunkSize(
            @ForAll @Size(max = 3) List<@From("chunk") Chunk> before,
            @ForAll("chunk") Chunk refused,
            @ForAll("prefix") String prefix,
            @ForAll @IntRange(min = 1, max = 12000) int longest,
            @ForAll long seed) {
        String text = HEAD + join(before) + refused.textWithLongSize(prefix) + "0\r\n\r\n" + HEAD + "0\r\n\r\n";
        Decoded decoded = decode(text, longest, new Random(seed));
        assertEquals(new Decoded(contents(before), false, true), decoded);
    }

    @Property(tries = 100)
    void longChunkSizeIsRefusedInPiecesOfOneByte(
            @ForAll @Size(max = 3) List<@From("chunk") Chunk> before,
            @ForAll("chunk") Chunk refused,
            @ForAll("prefix") String prefix) {
        String text = HEAD + join(before) + refused.textWithLongSize(prefix) + "0\r\n\r\n";
        Decoded decoded = decode(text, 1, new Random(0));
        assertEquals(contents(before), decoded.body());
        assertTrue(decoded.failed());
    }
}
