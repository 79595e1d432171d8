package io.fireflywalk.services.http;

import io.fireflywalk.core.ingress.InterimResponseLimit;
import io.fireflywalk.services.http.ResponseCodec.Listener;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClientOptions;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Decoder of the responses on a connection. It decodes as invalid: a head or trailers with a second status line; a head with
 * an invalid field line; a body that {@link ChunkSizeCheck} refuses or that may have been cut. Nothing follows an invalid
 * part. It discards interim responses unless its user follows the requests, and decodes one as invalid that
 * {@link InterimResponseLimit} does not allow. Confined to the event loop of the connection.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final String PROTOCOL = "HTTP/";

    private final BooleanSupplier requestInProgress;
    private final Listener listener;
    /** Absent if interim responses are delivered. */
    private final Optional<InterimResponseLimit> interimResponses;

    private final ChunkSizeCheck chunkSizes = new ChunkSizeCheck();
    private boolean finalResponseDue;
    private boolean interim;
    private boolean bodiless;
    private boolean decodingResponse;
    /** True from the end of the head to that of the response. */
    private boolean decodingBody;

    private Optional<String> secondStatusLine = Optional.empty();
    /** Stays true, because nothing is decoded behind the response. */
    private boolean invalidField;

    private boolean failed;
    private boolean closed;

    /** Requests that have been sent and whose last byte has not been written to the connection. */
    private int unwrittenRequests;
    /** True if the connection has failed or this side closes it, so that its end is not the server's. */
    private boolean interrupted;

    /**
     * Creates the decoder of one connection.
     *
     * @param requestInProgress tells whether a request on the connection waits for the end of its response; by default,
     *     one does from when it is sent to the end of the next final response. A user that passes this follows the
     *     requests itself and gets the interim responses too.
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
        this.interimResponses =
                requestInProgress.isPresent() ? Optional.empty() : Optional.of(new InterimResponseLimit());
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
        unwrittenRequests++;
        interimResponses.ifPresent(InterimResponseLimit::requestSent);
    }

    /** Records that the last byte of a request has been written to the connection. */
    void requestWritten() {
        unwrittenRequests--;
    }

    /** Records that this side closes the connection. */
    void closing() {
        interrupted = true;
    }

    boolean acceptsRequests() {
        return !closed && !failed && !holdsUnfinishedResponse();
    }

    boolean holdsUnfinishedResponse() {
        return decodingResponse || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        decodingResponse = true;
        if (!StatusLines.isStatusLine(initialLine[0], initialLine[1])) {
            throw new IllegalArgumentException("the first line of a response is no status line");
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        interim =
                InterimResponseLimit.isInterim(((HttpResponse) message).status().code());
        return bodiless || super.isContentAlwaysEmpty(message);
    }

    /** Decodes a part of a response; a call that reads lines of a head reads nothing else. */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        if (failed) {
            input.skipBytes(input.readableBytes());
            return;
        }
        int start = input.readerIndex();
        boolean statusLineExpected = !decodingResponse;
        boolean inHead = !decodingBody;
        ByteBuf checked = chunkSizes.beforeStep(input);
        super.decode(context, checked, output);
        chunkSizes.afterStep(checked, output);
        if (inHead || !holdsContent(output)) {
            // The decoder drops some bytes of heads, chunk sizes and trailers, so what is decoded does not show all of
            // them.
            String lines = input.toString(start, input.readerIndex() - start, StandardCharsets.ISO_8859_1);
            secondStatusLine = secondStatusLine.or(() -> StatusLines.find(lines, statusLineExpected ? 1 : 0));
            if (inHead && decodingResponse) {
                invalidField |= !FieldLines.areValid(lines, statusLineExpected);
            }
        }
        if (!output.isEmpty()) {
            checkDecoded(output);
        }
    }

    private static boolean holdsContent(List<Object> output) {
        return output.stream()
                .anyMatch(part ->
                        part instanceof HttpContent content && content.content().isReadable());
    }

    private void checkDecoded(List<Object> output) {
        if (output.get(0) instanceof HttpResponse head) {
            decodingBody = true;
            if (head.decoderResult().isSuccess()) {
                findFailure(head).ifPresent(failure -> {
                    head.setDecoderResult(DecoderResult.failure(failure));
                    releaseBehind(output, 1);
                });
            }
        }
        int last = output.size() - 1;
        if (output.get(last) instanceof LastHttpContent end) {
            decodingResponse = false;
            decodingBody = false;
            finalResponseDue &= interim;
            if (secondStatusLine.isPresent() && end.decoderResult().isSuccess()) {
                replaceEnd(output, joinedResponses());
            }
            secondStatusLine = Optional.empty();
        }
        failed = output.stream()
                .anyMatch(part -> ((HttpObject) part).decoderResult().isFailure());
        if (interim && interimResponses.isPresent() && !failed) {
            // An interim response has no body, so the step has decoded the whole of it.
            releaseBehind(output, 0);
        }
    }

    /** Returns why a head is invalid that the superclass has decoded; nothing if it is valid. */
    private Optional<Exception> findFailure(HttpResponse head) {
        if (secondStatusLine.isPresent()) {
            return Optional.of(joinedResponses());
        }
        if (invalidField) {
            return Optional.of(new IllegalArgumentException("a response has an invalid field line"));
        }
        if (interim && !allowsInterim(head)) {
            return Optional.of(
                    new IllegalArgumentException("the server switched protocols or sent too many interim responses"));
        }
        return Optional.empty();
    }

    private boolean allowsInterim(HttpResponse head) {
        return interimResponses.map(limit -> limit.allows(head.status().code())).orElse(true);
    }

    private Exception joinedResponses() {
        listener.onJoinedHead(secondStatusLine.orElseThrow());
        return new IllegalArgumentException("a response contains a second status line");
    }

    /**
     * Decodes what is left at the end of the connection. The end completes a body without a length only if the server
     * has ended the connection and the whole request was written before. A reset that fails a write ends the connection
     * without an exception, and an orderly end within the request may precede a reset.
     */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        super.decodeLast(context, input, output);
        int last = output.size() - 1;
        // An end that a length or a chunk tells has been decoded before, which has ended the body.
        boolean endedByConnection = decodingBody && last >= 0 && output.get(last) instanceof LastHttpContent;
        if (endedByConnection && (interrupted || unwrittenRequests > 0)) {
            replaceEnd(output, new IOException("the connection was lost within a response without a length"));
        }
    }

    private static void replaceEnd(List<Object> output, Exception failure) {
        LastHttpContent invalid = new DefaultLastHttpContent();
        invalid.setDecoderResult(DecoderResult.failure(failure));
        releaseBehind(output, output.size() - 1);
        output.add(invalid);
    }

    private static void releaseBehind(List<Object> output, int kept) {
        while (output.size() > kept) {
            ReferenceCountUtil.release(output.remove(output.size() - 1));
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        if (!closed && holdsUnfinishedResponse() && !(requestInProgress.getAsBoolean() && mayBecomeResponse())) {
            listener.onUnfinishedResponse(actualReadableBytes());
            closed = true;
            interrupted = true;
            var unused = context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        interrupted = true;
        super.exceptionCaught(context, cause);
    }

    /** Tells whether the bytes of which no line is complete can be the beginning of a status line. */
    private boolean mayBecomeResponse() {
        ByteBuf undecoded = internalBuffer();
        int length = Math.min(undecoded.readableBytes(), PROTOCOL.length());
        String beginning = undecoded.toString(undecoded.readerIndex(), length, StandardCharsets.ISO_8859_1);
        return decodingResponse || failed || PROTOCOL.startsWith(beginning);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        closed = true;
        super.channelInactive(context);
    }
}
