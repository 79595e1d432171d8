package io.fireflywalk.daemon.gateway;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * Request decoder that rejects a request with both {@code content-length} and {@code transfer-encoding}. The default
 * decoder removes {@code content-length} before any handler sees it, so that the conflict could not be reported.
 * Confined to one event loop.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    private static final String DECODER_NAME = "httpDecoder";

    private StrictRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /** Replaces the decoder of a new connection, which must not have read anything yet. */
    static void install(HttpConnection connection, HttpServerOptions options) {
        if (connection instanceof HttpServerConnection serverConnection) {
            ChannelPipeline pipeline = serverConnection.channelHandlerContext().pipeline();
            if (pipeline.get(DECODER_NAME) != null) {
                pipeline.replace(DECODER_NAME, DECODER_NAME, new StrictRequestDecoder(options));
            }
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both content-length and transfer-encoding");
    }
}
