package io.fireflywalk.daemon.ingress;

import io.fireflywalk.daemon.ingress.RequestFraming.Violation;
import io.fireflywalk.daemon.ingress.RequestFraming.ViolationException;
import io.fireflywalk.services.http.ChunkSizeCheck;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.AsciiString;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;
import java.util.Optional;

/**
 * Request decoder that refuses what violates {@link RequestFraming} or {@link ChunkSizeCheck}. After a refused request it drops all further bytes of
 * the connection, so that nothing that follows can run. Confined to one event loop.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    private static final String DECODER_NAME = "httpDecoder";

    private final ChunkSizeCheck chunkSizes = new ChunkSizeCheck();
    private int lengths;

    private StrictRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /** Replaces the decoder of a new connection, which must not have read anything yet. */
    static void install(HttpConnection connection, HttpServerOptions options) {
        ChannelPipeline pipeline =
                ((HttpServerConnection) connection).channelHandlerContext().pipeline();
        pipeline.replace(DECODER_NAME, DECODER_NAME, new StrictRequestDecoder(options));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        ByteBuf checked = chunkSizes.beforeStep(input);
        super.decode(context, checked, output);
        chunkSizes.afterStep(checked, output);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        lengths = 0;
        HttpMessage message = super.createMessage(initialLine);
        // Thrown before the decoder has a message, because the response would repeat its version.
        refuse(RequestFraming.checkVersion(message.protocolVersion()));
        return message;
    }

    @Override
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        requireSpaceAt(line, start + length);
        return super.splitFirstWordInitialLine(line, start, length);
    }

    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        requireSpaceAt(line, start + length);
        return super.splitSecondWordInitialLine(line, start, length);
    }

    /** Refuses a bare CR and other control characters, which the decoder takes for a space. */
    private static void requireSpaceAt(byte[] line, int index) {
        if (index < line.length && line[index] != ' ') {
            refuse(RequestFraming.invalid("the request line has a separator other than a space"));
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] bytes, int start, int length) {
        if (length == 0) {
            refuse(RequestFraming.invalid("a header without a name"));
        }
        AsciiString name = super.splitHeaderName(bytes, start, length);
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
            lengths++;
        }
        return name;
    }

    /** Called with the whole head before the decoder decides how the body is framed. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        if (message instanceof HttpRequest request) {
            refuse(RequestFraming.check(request, lengths));
        }
        return super.isContentAlwaysEmpty(message);
    }

    private static void refuse(Optional<Violation> found) {
        found.ifPresent(violation -> {
            throw new ViolationException(violation);
        });
    }
}
