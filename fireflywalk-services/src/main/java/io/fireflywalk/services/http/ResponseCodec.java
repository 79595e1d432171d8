package io.fireflywalk.services.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import java.io.IOException;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Codec of a connection of an HTTP client that carries one request at a time. A server may begin a response that nobody
 * waits for and not finish it; the bytes of the next response then follow in the middle of the first one. Such a
 * connection is closed as soon as no request is in progress, and a response whose head may have parts of two responses is
 * decoded as invalid. So is a body without a length if the connection did not end in an orderly way, or before the whole
 * request was written. Confined to the event loop of the connection.
 */
public final class ResponseCodec extends CombinedChannelDuplexHandler<ResponseDecoder, HttpRequestEncoder> {
    /** Name under which the HTTP client adds its own codec. */
    private static final String CODEC_NAME = "codec";

    /** Learns of responses that a server has begun and not finished. */
    public interface Listener {

        /**
         * Called with a line of the head of a response that contains the status line of another response.
         *
         * @param statusLine the line from the second status line on
         */
        void onJoinedHead(String statusLine);

        /** Called with the number of undecoded bytes of a response that has begun while no request was in progress. */
        void onUnfinishedResponse(int bytes);
    }

    ResponseCodec(ResponseDecoder decoder) {
        super(decoder, new HttpRequestEncoder());
    }

    /**
     * Replaces the codec of a new connection, which must not have read anything yet.
     *
     * @param headers factory of the headers of responses
     * @param requestInProgress tells whether a request on the connection waits for the end of its response; the user also
     *     decides about interim responses
     */
    public static ResponseCodec install(
            HttpConnection connection,
            HttpHeadersFactory headers,
            BooleanSupplier requestInProgress,
            Listener listener) {
        return install(connection, new ResponseDecoder(headers, Optional.of(requestInProgress), listener));
    }

    /**
     * Replaces the codec of a new connection, which must not have read anything yet. A request is in progress from its
     * head to the end of the next final response. Interim responses are discarded; too many to one request and a switch of
     * protocols are decoded as invalid.
     */
    public static ResponseCodec install(HttpConnection connection, Listener listener) {
        return install(
                connection,
                new ResponseDecoder(DefaultHttpHeadersFactory.headersFactory(), Optional.empty(), listener));
    }

    private static ResponseCodec install(HttpConnection connection, ResponseDecoder decoder) {
        ResponseCodec codec = new ResponseCodec(decoder);
        // The HTTP client has no public hook for its codec.
        ((HttpClientConnectionInternal) connection)
                .channelHandlerContext()
                .pipeline()
                .replace(CODEC_NAME, CODEC_NAME, codec);
        return codec;
    }

    /** Tells whether the connection is open and holds no part of a response. */
    public boolean acceptsRequests() {
        return inboundHandler().acceptsRequests();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof HttpRequest request) {
            if (!acceptsRequests()) {
                ReferenceCountUtil.release(message);
                promise.setFailure(new IOException("the connection is closed or holds the beginning of a response"));
                close(context, context.newPromise());
                return;
            }
            inboundHandler().requestSent(request.method().equals(HttpMethod.HEAD));
        }
        ChannelPromise written = promise;
        if (message instanceof LastHttpContent) {
            // A void promise accepts no listeners.
            written = promise.unvoid();
            written.addListener(write -> {
                if (write.isSuccess()) {
                    inboundHandler().requestWritten();
                }
            });
        }
        super.write(context, message, written);
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
        inboundHandler().closing();
        super.close(context, promise);
    }
}
