package io.fireflywalk.services.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Guards against responses that are decoded from parts of two: an unfinished one, cut at any byte, and the one behind it.
 */
class BegunResponseProperties {
    private static final String IDENTIFIER = "X-Identifier";
    private static final List<Integer> STATUSES = List.of(100, 103, 200, 204, 304, 404, 500, 503);
    private static final List<String> REASONS =
            List.of("", " ", " OK", " Not Found", " Internal Server Error", " HTTP/1.1 is spoken here", " see HTTP/2");
    private static final List<String> EXTRA_HEADERS = List.of(
            "Via: HTTP/1.1 proxy.example",
            "Not-Executed: 1",
            "Date: Sun, 06 Dec 2026 02:30:00 GMT",
            "Server-Version: 1",
            "Empty:");
    private static final List<String> INVALID_HEADERS = List.of(
            "Date : Sun, 06 Dec 2026 02:30:00 GMT",
            "Date\t: Sun, 06 Dec 2026 02:30:00 GMT",
            "Server version: 1",
            "Server\u0001Version: 1",
            "Content-Length : 3",
            "Transfer-Encoding : chunked",
            " folded: 1",
            ": 1",
            "Server");
    private static final List<String> BODIES = List.of("", "body", "{\"status\": 200}\r\n", "x".repeat(300));

    /** How the end of the body is known. */
    enum Framing {
        LENGTH,
        CHUNKS,
        CHUNKS_WITH_TRAILER,
        END_OF_CONNECTION
    }

    /** A response of a server. */
    record Response(int status, String reason, String identifier, List<String> headers, Framing framing, String body) {

        String text() {
            List<String> lines = new ArrayList<>(List.of("HTTP/1.1 " + status + reason));
            lines.addAll(headers);
            boolean bodiless = status < 200 || status == 204 || status == 304;
            String content = bodiless ? "" : body;
            String ending = "";
            if (!bodiless && framing == Framing.LENGTH) {
                lines.add("Content-Length: " + body.length());
            } else if (!bodiless && framing != Framing.END_OF_CONNECTION) {
                lines.add("Transfer-Encoding: chunked");
                content = body.isEmpty() ? "" : Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
                ending = framing == Framing.CHUNKS ? "0\r\n\r\n" : "0\r\nChecksum: 1234\r\n\r\n";
            }
            return String.join("\r\n", lines) + "\r\n\r\n" + content + ending;
        }

        boolean endsItself() {
            return framing != Framing.END_OF_CONNECTION || status < 200 || status == 204 || status == 304;
        }
    }

    @Provide
    Arbitrary<Response> earlier() {
        return response("first");
    }

    @Provide
    Arbitrary<Response> earlierWithAnyHeaders() {
        return response(
                "first",
                Stream.concat(EXTRA_HEADERS.stream(), INVALID_HEADERS.stream()).toList());
    }

    @Provide
    Arbitrary<Response> own() {
        return response("second");
    }

    private static Arbitrary<Response> response(String identifier) {
        return response(identifier, EXTRA_HEADERS);
    }

    private static Arbitrary<Response> response(String identifier, List<String> extraHeaders) {
        Arbitrary<List<String>> headers = Arbitraries.of(extraHeaders)
                .set()
                .map(some -> {
                    List<String> all = new ArrayList<>(some);
                    all.add(IDENTIFIER + ": " + identifier);
                    return all;
                })
                .flatMap(Arbitraries::shuffle);
        return Combinators.combine(
                        Arbitraries.of(STATUSES),
                        Arbitraries.of(REASONS),
                        headers,
                        Arbitraries.of(Framing.class),
                        Arbitraries.of(BODIES))
                .as((status, reason, lines, framing, body) ->
                        new Response(status, reason, identifier, lines, framing, body));
    }

    private static ResponseDecoder decoder(boolean requestInProgress) {
        return new ResponseDecoder(
                DefaultHttpHeadersFactory.headersFactory(),
                Optional.of(() -> requestInProgress),
                new ResponseCodec.Listener() {
                    @Override
                    public void onJoinedHead(String statusLine) {}

                    @Override
                    public void onUnfinishedResponse(int bytes) {}
                });
    }

    /** Feeds a text in pieces and returns what is decoded until the first failure. */
    private static List<HttpObject> decode(EmbeddedChannel channel, String text, Random random) {
        List<HttpObject> decoded = new ArrayList<>();
        int start = 0;
        while (start < text.length() && channel.isOpen()) {
            int end = Math.min(text.length(), start + 1 + random.nextInt(random.nextBoolean() ? 8 : 400));
            channel.writeInbound(Unpooled.copiedBuffer(text.substring(start, end), StandardCharsets.ISO_8859_1));
            start = end;
        }
        for (HttpObject next = channel.readInbound(); next != null; next = channel.readInbound()) {
            ReferenceCountUtil.release(next);
            if (next.decoderResult().isFailure()) {
                break;
            }
            decoded.add(next);
        }
        return decoded;
    }

    private static List<HttpResponse> heads(List<HttpObject> decoded) {
        return decoded.stream()
                .filter(HttpResponse.class::isInstance)
                .map(HttpResponse.class::cast)
                .toList();
    }

    @Property(tries = 5000)
    void noHeadHasPartsOfTwoResponses(
            @ForAll("earlierWithAnyHeaders") Response earlier,
            @ForAll("own") Response own,
            @ForAll int cut,
            @ForAll long seed) {
        String text = earlier.text();
        String beginning = text.substring(0, Math.floorMod(cut, text.length() + 1));
        EmbeddedChannel channel = new EmbeddedChannel(decoder(true));
        for (HttpResponse head : heads(decode(channel, beginning + own.text(), new Random(seed)))) {
            Response sender = own.identifier().equals(head.headers().get(IDENTIFIER)) ? own : earlier;
            assertEquals("HTTP/1.1", head.protocolVersion().text());
            assertEquals(sender.status(), head.status().code());
            assertEquals(sender.reason().strip(), head.status().reasonPhrase());
            assertEquals(
                    sender.headers().size(),
                    head.headers().entries().stream()
                            .filter(header -> !header.getKey().startsWith("Content-Length"))
                            .filter(header -> !header.getKey().startsWith("Transfer-Encoding"))
                            .count());
        }
        channel.finishAndReleaseAll();
    }

    @Property(tries = 1000)
    void soundResponsesAreDecodedWhole(
            @ForAll("own") Response first, @ForAll("own") Response second, @ForAll long seed) {
        EmbeddedChannel channel = new EmbeddedChannel(decoder(true));
        String text = first.text() + (first.endsItself() ? second.text() : "");
        List<HttpObject> decoded = decode(channel, text, new Random(seed));
        int responses = first.endsItself() ? 2 : 1;
        assertTrue(channel.isOpen());
        assertEquals(responses, heads(decoded).size());
        int ends = (first.endsItself() ? 1 : 0) + (first.endsItself() && second.endsItself() ? 1 : 0);
        assertEquals(
                ends, decoded.stream().filter(LastHttpContent.class::isInstance).count());
        channel.finishAndReleaseAll();
    }

    @Property(tries = 2000)
    void connectionWithABeginningIsClosedOnceNoRequestIsInProgress(
            @ForAll("earlier") Response earlier, @ForAll int cut) {
        String text = earlier.text();
        String beginning = text.substring(0, Math.floorMod(cut, text.length() + 1));
        ResponseDecoder decoder = decoder(false);
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        channel.writeInbound(Unpooled.copiedBuffer(beginning, StandardCharsets.ISO_8859_1));
        boolean whole = beginning.isEmpty() || (beginning.equals(text) && earlier.endsItself());
        assertEquals(whole, channel.isOpen());
        assertEquals(whole, decoder.acceptsRequests());
        assertFalse(channel.isOpen() && decoder.holdsUnfinishedResponse());
        channel.releaseInbound();
        channel.finishAndReleaseAll();
    }

    @Provide
    Arbitrary<String> lastChunk() {
        return Arbitraries.of("0\r", "0 ", "0;a=", "0\r\n", "0\r\nChecksum", "0\r\nChecksum ", "0\r\nChecksum: 12");
    }

    @Property(tries = 1000)
    void endOfABodyWithAStatusLineIsInvalid(
            @ForAll("lastChunk") String lastChunk, @ForAll("own") Response own, @ForAll long seed) {
        String beginning = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + lastChunk;
        EmbeddedChannel channel = new EmbeddedChannel(decoder(true));
        List<HttpObject> decoded = decode(channel, beginning + own.text(), new Random(seed));
        assertEquals(1, decoded.size());
        channel.finishAndReleaseAll();
    }

    @Provide
    Arbitrary<String> invalidHeader() {
        return Arbitraries.of(INVALID_HEADERS);
    }

    @Property
    void responseWithAnInvalidFieldLineIsInvalid(
            @ForAll("own") Response own,
            @ForAll("invalidHeader") String invalid,
            @ForAll int place,
            @ForAll long seed) {
        List<String> headers = new ArrayList<>(own.headers());
        headers.add(Math.floorMod(place, headers.size() + 1), invalid);
        Response response =
                new Response(own.status(), own.reason(), own.identifier(), headers, own.framing(), own.body());
        EmbeddedChannel channel = new EmbeddedChannel(decoder(true));
        assertEquals(List.of(), decode(channel, response.text(), new Random(seed)));
        channel.finishAndReleaseAll();
    }

    @Property
    void responseThatDoesNotBeginWithAStatusLineIsInvalid(
            @ForAll("firstWords") String firstWords, @ForAll("own") Response own, @ForAll long seed) {
        EmbeddedChannel channel = new EmbeddedChannel(decoder(true));
        assertEquals(List.of(), decode(channel, firstWords + " O" + own.text(), new Random(seed)));
        channel.finishAndReleaseAll();
    }

    @Provide
    Arbitrary<String> firstWords() {
        return Arbitraries.of("HTTP/1.1\u0000 200", "HTTP/1.1\u0001 204", "HTTP/1.1 -00", "ICY 200", "HTTP/1.1 20x");
    }

    @Example
    void requestIsNotWrittenWithinTheReadThatHoldsABeginning() {
        EmbeddedChannel channel = new EmbeddedChannel(new ResponseCodec(decoder(true)));
        List<ChannelFuture> writes = new ArrayList<>();
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof LastHttpContent) {
                    writes.add(context.writeAndFlush(
                            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")));
                }
                ReferenceCountUtil.release(message);
            }
        });
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        channel.writeInbound(Unpooled.copiedBuffer(response + "HTTP/1.1 200 O", StandardCharsets.ISO_8859_1));
        assertEquals(1, writes.size());
        assertFalse(writes.get(0).isSuccess());
        assertFalse(channel.isOpen());
        channel.finishAndReleaseAll();
    }
}
