package io.fireflywalk.services.http;

import io.fireflywalk.services.http.ResponseCodec.Listener;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpClientOptions;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Decoder of the responses on a connection. Confined to the event loop of the connection. */
final class ResponseDecoder extends HttpResponseDecoder {
    private final BooleanSupplier requestInProgress;
    private final Listener listener;
    private boolean bodiless;
    private boolean decodingResponse;

    ResponseDecoder(HttpHeadersFactory headers, BooleanSupplier requestInProgress, Listener listener) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(HttpClientOptions.DEFAULT_MAX_INITIAL_LINE_LENGTH)
                .setMaxHeaderSize(HttpClientOptions.DEFAULT_MAX_HEADER_SIZE)
                .setMaxChunkSize(HttpClientOptions.DEFAULT_MAX_CHUNK_SIZE)
                .setInitialBufferSize(HttpClientOptions.DEFAULT_DECODER_INITIAL_BUFFER_SIZE)
                .setHeadersFactory(headers));
        this.requestInProgress = requestInProgress;
        this.listener = listener;
    }

    /**
     * Records that a request is sent.
     *
     * @param withoutBody true if the response has no body whatever its head says, as that to a HEAD request
     */
    void requestSent(boolean withoutBody) {
        bodiless = withoutBody;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        decodingResponse = true;
        report(StatusLines.find(initialLine[2]));
        return super.createMessage(initialLine);
    }

    /** Called with the whole head before the decoder decides how the body is framed. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        for (Map.Entry<String, String> header : message.headers()) {
            report(StatusLines.find(header.getValue()));
        }
        return bodiless || super.isContentAlwaysEmpty(message);
    }

    private void report(Optional<String> statusLine) {
        statusLine.ifPresent(listener::onJoinedHead);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        super.decode(context, input, output);
        if (!output.isEmpty() && output.get(output.size() - 1) instanceof LastHttpContent) {
            decodingResponse = false;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        if (!requestInProgress.getAsBoolean() && (decodingResponse || actualReadableBytes() > 0)) {
            listener.onUnfinishedResponse(actualReadableBytes());
        }
    }
}
