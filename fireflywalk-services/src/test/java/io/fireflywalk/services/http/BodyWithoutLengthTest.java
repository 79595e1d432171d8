package io.fireflywalk.services.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a body without a length that counts as whole although the server did not end it. */
class BodyWithoutLengthTest {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\n\r\npart";

    /** What becomes of the writes of the request. */
    enum Write {
        DONE,
        PENDING,
        FAILED
    }

    /** How the connection ends. */
    enum End {
        BY_SERVER,
        BY_CLIENT,
        BY_EXCEPTION
    }

    /** Keeps writes back or fails them, as a connection does whose peer does not read. */
    private static final class Writes extends ChannelOutboundHandlerAdapter {
        private final Write write;

        Writes(Write write) {
            this.write = write;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            if (write == Write.DONE) {
                promise.setSuccess();
            } else if (write == Write.FAILED) {
                promise.setFailure(new IOException("Connection reset by peer"));
            }
        }
    }

    private static EmbeddedChannel channel(Write write) {
        ResponseCodec.Listener listener = new ResponseCodec.Listener() {
            @Override
            public void onJoinedHead(String statusLine) {}

            @Override
            public void onUnfinishedResponse(int bytes) {}
        };
        return new EmbeddedChannel(
                new Writes(write),
                new ResponseCodec(new ResponseDecoder(
                        DefaultHttpHeadersFactory.headersFactory(), Optional.of(() -> true), listener)));
    }

    private static void send(EmbeddedChannel channel) {
        var unused = channel.writeOneOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    }

    private static void end(EmbeddedChannel channel, End end) {
        switch (end) {
            case BY_CLIENT -> {
                var unused = channel.close();
            }
            case BY_EXCEPTION -> {
                channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
                channel.pipeline().fireChannelInactive();
            }
            default -> channel.pipeline().fireChannelInactive();
        }
    }

    private static List<HttpObject> decoded(EmbeddedChannel channel) {
        List<HttpObject> decoded = new ArrayList<>();
        for (HttpObject next = channel.readInbound(); next != null; next = channel.readInbound()) {
            decoded.add(next);
            ReferenceCountUtil.release(next);
        }
        return decoded;
    }

    @ParameterizedTest
    @CsvSource({
        "DONE, BY_SERVER, true",
        "DONE, BY_CLIENT, false",
        "DONE, BY_EXCEPTION, false",
        "PENDING, BY_SERVER, false",
        "PENDING, BY_CLIENT, false",
        "FAILED, BY_SERVER, false",
        "FAILED, BY_EXCEPTION, false"
    })
    void bodyIsWholeOnlyIfTheServerEndsItBehindTheWholeRequest(Write write, End end, boolean whole) throws Exception {
        EmbeddedChannel channel = channel(write);
        send(channel);
        channel.writeInbound(Unpooled.copiedBuffer(RESPONSE, StandardCharsets.ISO_8859_1));
        end(channel, end);
        boolean ended = decoded(channel).stream()
                .anyMatch(part ->
                        part instanceof LastHttpContent && part.decoderResult().isSuccess());
        assertEquals(whole, ended);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void requestBeforeItDoesNotCountAsUnwritten(int earlierRequests) throws Exception {
        EmbeddedChannel channel = channel(Write.DONE);
        for (int request = 0; request < earlierRequests; request++) {
            send(channel);
            channel.writeInbound(
                    Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", StandardCharsets.ISO_8859_1));
        }
        send(channel);
        channel.writeInbound(Unpooled.copiedBuffer(RESPONSE, StandardCharsets.ISO_8859_1));
        end(channel, End.BY_SERVER);
        long ends = decoded(channel).stream()
                .filter(part ->
                        part instanceof LastHttpContent && part.decoderResult().isSuccess())
                .count();
        assertEquals(earlierRequests + 1, ends);
    }
}
