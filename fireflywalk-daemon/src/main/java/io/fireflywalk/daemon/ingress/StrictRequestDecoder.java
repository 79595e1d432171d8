package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.CallerBounds;
import io.fireflywalk.core.ingress.CallerLimit;
import io.fireflywalk.core.ingress.HeadMeter;
import io.fireflywalk.daemon.ingress.RequestFraming.Violation;
import io.fireflywalk.daemon.ingress.RequestFraming.ViolationException;
import io.fireflywalk.services.http.ChunkSizeCheck;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Request decoder that refuses what violates {@link RequestFraming} or {@link ChunkSizeCheck}, or meets a {@link
 * CallerLimit}. After a refused request it drops all further bytes of the connection, so that nothing that follows can run.
 * It stops to decode while the HTTP server does not read, or has as many requests of the connection as it may, so that what
 * waits is kept as bytes and not as messages, which take far more. Confined to one event loop.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    private static final String DECODER_NAME = "httpDecoder";
    private static final String RESUMPTION_NAME = "decoderResumption";
    /** Messages after which the HTTP server is asked whether it still reads. */
    private static final int STEPS_BETWEEN_CHECKS = 16;
    /** Undecoded bytes up to which a connection is read although the HTTP server does not read: as many as one read takes. */
    private static final int MAXIMUM_WAITING_BYTES = 8192;

    /** Lines that the decoder cannot read as a request line, a header, a trailer or a chunk size. */
    private static final byte[] INVALID_REQUEST_LINE = "- - -\r\n".getBytes(StandardCharsets.US_ASCII);

    /** The decoder passes only the name of a line with a colon on to the check that reports the limit. */
    private static final byte[] INVALID_LINES = "-:\r\n-:\r\n".getBytes(StandardCharsets.US_ASCII);

    /** What waits is kept in the heap: a direct buffer of a few bytes would keep a whole chunk of its pool. */
    private static final ByteBufAllocator HEAP = new UnpooledByteBufAllocator(false);

    private final ChunkSizeCheck chunkSizes = new ChunkSizeCheck();
    private final CallerBounds bounds;
    private final HeadMeter meter;
    private final CallerConnection connection;
    private final Consumer<CallerLimit> onLimit;
    private Optional<Violation> limitViolation = Optional.empty();
    private boolean dropping;
    private boolean readingBody;
    private boolean stopped;
    private boolean readingStopped;
    private int steps;
    private int lengths;

    private StrictRequestDecoder(
            HttpServerOptions options,
            CallerBounds bounds,
            IntSupplier headBytes,
            CallerConnection connection,
            Consumer<CallerLimit> onLimit) {
        super(options);
        setCumulator((unused, cumulation, input) -> cumulate(cumulation, input));
        this.bounds = bounds;
        this.meter = new HeadMeter(bounds, headBytes);
        this.connection = connection;
        this.onLimit = onLimit;
    }

    /**
     * Replaces the decoder of a new connection, which must not have read anything yet.
     *
     * @param headBytes bytes of the header lines that are allowed in a head at present
     * @param onLimit receives each limit that the caller meets
     */
    static StrictRequestDecoder install(
            HttpConnection connection,
            HttpServerOptions options,
            CallerBounds bounds,
            IntSupplier headBytes,
            CallerConnection caller,
            Consumer<CallerLimit> onLimit) {
        ChannelPipeline pipeline =
                ((HttpServerConnection) connection).channelHandlerContext().pipeline();
        StrictRequestDecoder decoder = new StrictRequestDecoder(options, bounds, headBytes, caller, onLimit);
        pipeline.replace(DECODER_NAME, DECODER_NAME, decoder);
        pipeline.addBefore(DECODER_NAME, RESUMPTION_NAME, new ChannelOutboundHandlerAdapter() {
            @Override
            public void read(ChannelHandlerContext context) {
                context.read();
                decoder.resumeLater(pipeline.context(decoder));
            }
        });
        caller.onAnswered(() -> decoder.resumeReading(pipeline.channel()));
        return decoder;
    }

    private static ByteBuf cumulate(ByteBuf cumulation, ByteBuf input) {
        if (cumulation.isReadable()) {
            return MERGE_CUMULATOR.cumulate(HEAP, cumulation, input);
        }
        ByteBuf copy = HEAP.buffer(input.readableBytes()).writeBytes(input);
        input.release();
        cumulation.release();
        return copy;
    }

    /** Refuses the request whose head is incomplete. */
    void refuse(HttpConnection refused, CallerLimit limit) {
        ChannelHandlerContext context = ((HttpServerConnection) refused)
                .channelHandlerContext()
                .pipeline()
                .context(this);
        if (context != null && !readingBody) {
            exceed(limit);
            decodeMore(context, Unpooled.wrappedBuffer(INVALID_LINES));
        }
    }

    /**
     * Reads a connection that the HTTP server does not read, if few of its bytes wait: only reading notices that the caller
     * has left. The requests of such callers went on, and held their memory, until their targets had answered.
     * A connection within a body is left alone, because bodies are paused until there is room for them.
     */
    void readWhileStopped(HttpConnection stoppedConnection) {
        // Passes by the handler that takes a read for a sign that the HTTP server reads again.
        ChannelHandlerContext context = ((HttpServerConnection) stoppedConnection)
                .channelHandlerContext()
                .pipeline()
                .context(RESUMPTION_NAME);
        if (context != null
                && !readingBody
                && !context.channel().config().isAutoRead()
                && actualReadableBytes() <= MAXIMUM_WAITING_BYTES
                && connection.holdUndecoded(actualReadableBytes())) {
            context.read();
        }
    }

    /** Decodes what has waited, once the HTTP server reads again. */
    private void resumeLater(ChannelHandlerContext context) {
        if (stopped && context != null) {
            stopped = false;
            context.executor().execute(() -> decodeMore(context, Unpooled.EMPTY_BUFFER));
        }
    }

    private void decodeMore(ChannelHandlerContext context, ByteBuf added) {
        if (context.isRemoved()) {
            added.release();
            return;
        }
        try {
            channelRead(context, added);
            channelReadComplete(context);
        } catch (Exception exception) {
            context.fireExceptionCaught(exception);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        if (dropping) {
            input.skipBytes(input.readableBytes());
            return;
        }
        if (!mayDecode(context)) {
            stopped = true;
            connection.holdUndecoded(input.readableBytes());
            return;
        }
        if (!readingBody && limitViolation.isEmpty()) {
            checkHead(input);
        }
        if (limitViolation.isPresent()) {
            refuse(context, input, output);
            return;
        }
        int start = input.readerIndex();
        ByteBuf checked = chunkSizes.beforeStep(input);
        super.decode(context, checked, output);
        chunkSizes.afterStep(checked, output);
        recordMessages(output);
        if (readingBody && output.isEmpty() && input.readerIndex() > start) {
            checkLinesOfBody(input, start);
            if (limitViolation.isPresent()) {
                refuse(context, input, output);
            }
        }
    }

    private boolean mayDecode(ChannelHandlerContext context) {
        steps++;
        if (steps % STEPS_BETWEEN_CHECKS == 0) {
            // Lets the HTTP server stop to read if it has too many messages.
            context.fireChannelReadComplete();
        }
        if (!context.channel().config().isAutoRead()) {
            return false;
        }
        if (!meter.isBeforeRequest() || connection.unansweredRequests() < bounds.pipelinedRequests()) {
            return true;
        }
        // The HTTP server reads on once it has produced the responses, although the caller may not read them.
        readingStopped = true;
        context.channel().config().setAutoRead(false);
        onLimit.accept(CallerLimit.PIPELINED_REQUESTS);
        return false;
    }

    /** Reads again after a response, which lets the next request be decoded. */
    private void resumeReading(Channel channel) {
        if (readingStopped && connection.unansweredRequests() < bounds.pipelinedRequests()) {
            readingStopped = false;
            channel.config().setAutoRead(true);
        }
    }

    /** Checks the lines of a head that the next step decodes, and takes the memory for them. */
    private void checkHead(ByteBuf input) {
        HeadScan scan = HeadScan.of(input, meter.isBeforeRequest());
        if (scan.emptyBytes() > 0) {
            meter.add(scan.emptyBytes(), 0, 0).ifPresent(this::exceed);
        }
        if (scan.hasRequestLine()) {
            meter.headStarted(scan.requestLineBytes());
        }
        if (!meter.isBeforeRequest()) {
            meter.add(scan.bytes(), scan.lines(), scan.foldedLines()).ifPresent(this::exceed);
            if (!scan.isComplete()) {
                meter.exceeded(scan.incompleteBytes()).ifPresent(this::exceed);
            }
        }
        if (!scan.isComplete() && (scan.incompleteBytes() > 0 || !meter.isBeforeRequest())) {
            connection.startHead();
        }
        if (limitViolation.isEmpty() && !connection.holdUndecoded(meter.cost(scan.incompleteBytes()))) {
            exceed(CallerLimit.MEMORY);
        }
    }

    /** Checks lines between chunks and trailers, which hold memory until the request ends. */
    private void checkLinesOfBody(ByteBuf input, int start) {
        HeadScan scan = HeadScan.of(input.slice(start, input.readerIndex() - start), false);
        meter.add(scan.bytes() + scan.endBytes(), scan.lines(), scan.foldedLines())
                .ifPresent(this::exceed);
        if (limitViolation.isEmpty() && !connection.holdUndecoded(meter.cost(0))) {
            exceed(CallerLimit.MEMORY);
        }
    }

    private void exceed(CallerLimit limit) {
        if (limitViolation.isEmpty()) {
            limitViolation = Optional.of(new Violation(limit.kind(), limit.detail()));
            onLimit.accept(limit);
        }
    }

    /** Has the decoder read invalid lines instead of the input, which it answers by refusing the request. */
    private void refuse(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        input.skipBytes(input.readableBytes());
        dropping = true;
        ByteBuf invalid = Unpooled.wrappedBuffer(meter.isBeforeRequest() ? INVALID_REQUEST_LINE : INVALID_LINES);
        while (output.isEmpty() && invalid.isReadable()) {
            super.decode(context, invalid, output);
        }
        recordMessages(output);
    }

    private void recordMessages(List<Object> output) {
        for (Object decoded : output) {
            if (decoded instanceof HttpObject object && object.decoderResult().isFailure()) {
                dropping = true;
            }
            if (decoded instanceof HttpMessage) {
                connection.endHead(meter.cost(0));
                readingBody = true;
            }
            if (decoded instanceof HttpMessage || decoded instanceof HttpContent) {
                meter.messageDecoded();
            }
            if (decoded instanceof LastHttpContent last) {
                // Nothing reads trailers; they would be kept until the request has been answered.
                if (!last.trailingHeaders().isEmpty()) {
                    last.trailingHeaders().clear();
                }
                connection.releaseUndecoded();
                readingBody = false;
                meter.requestEnded();
            }
        }
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
        refuse(limitViolation);
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
        refuse(limitViolation);
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
