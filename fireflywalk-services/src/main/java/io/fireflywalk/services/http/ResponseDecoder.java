package io.fireflywalk.services.http;

import io.fireflywalk.services.http.ResponseCodec.Listener;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpClientOptions;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Decoder of the responses on a connection. It decodes a response as invalid whose head or trailers contain a second status
 * line. Confined to the event loop of the connection.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private final BooleanSupplier requestInProgress;
    private final Listener listener;
    private boolean finalResponseDue;
    private boolean interim;
    private boolean bodiless;
    private boolean decodingResponse;
    private boolean closed;

    /**
     * Creates the decoder of one connection.
     *
     * @param requestInProgress tells whether a request on the connection waits for the end of its response; by default,
     *     one does from when it is sent to the end of the next final response
     */
    ResponseDecoder(HttpHeadersFactory headers, Optional<BooleanSupplier> requestInProgress, Listener listener) {
        // The limits are those of the HTTP client's own codec.
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(HttpClientOptions.DEFAULT_MAX_INITIAL_LINE_LENGTH)
                .setMaxHeaderSize(HttpClientOptions.DEFAULT_MAX_HEADER_SIZE)
                .setMaxChunkSize(HttpClientOptions.DEFAULT_MAX_CHUNK_SIZE)
                .setInitialBufferSize(HttpClientOptions.DEFAULT_DECODER_INITIAL_BUFFER_SIZE)
                .setHeadersFactory(headers));
        this.requestInProgress = requestInProgress.orElse(() -> finalResponseDue);
        this.listener = listener;
    }

    /**
     * Records that a request is sent.
     *
     * @param withoutBody true if the response has no body whatever its head says, as that to a HEAD request
     */
    void requestSent(boolean withoutBody) {
        finalResponseDue = true;
        bodiless = withoutBody;
    }

    boolean acceptsRequests() {
        return !closed && !holdsUnfinishedResponse();
    }

    boolean holdsUnfinishedResponse() {
        return decodingResponse || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        decodingResponse = true;
        refuseStatusLine(initialLine[2]);
        return super.createMessage(initialLine);
    }

    /** Called with the whole head before the decoder decides how the body is framed. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        refuseStatusLines(message.headers());
        interim = ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return bodiless || super.isContentAlwaysEmpty(message);
    }

    private void refuseStatusLines(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            refuseStatusLine(header.getValue());
        }
    }

    private void refuseStatusLine(String text) {
        Optional<String> statusLine = StatusLines.find(text);
        if (statusLine.isPresent()) {
            listener.onJoinedHead(statusLine.get());
            throw new IllegalArgumentException("the head of a response contains a second status line");
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        super.decode(context, input, output);
        if (!output.isEmpty() && output.get(output.size() - 1) instanceof LastHttpContent end) {
            decodingResponse = false;
            finalResponseDue &= interim;
            try {
                refuseStatusLines(end.trailingHeaders());
            } catch (IllegalArgumentException exception) {
                end.setDecoderResult(DecoderResult.failure(exception));
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        if (!closed && !requestInProgress.getAsBoolean() && holdsUnfinishedResponse()) {
            listener.onUnfinishedResponse(actualReadableBytes());
            closed = true;
            var unused = context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        closed = true;
        super.channelInactive(context);
    }
}
