package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.InterimResponseLimit;
import io.fireflywalk.core.ingress.TargetConnectionState;
import io.fireflywalk.core.ingress.TargetConnectionState.Decision;
import io.fireflywalk.services.http.StatusLines;
import io.fireflywalk.services.time.TimerService;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.reactivex.rxjava3.disposables.Disposable;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * Takes responses that belong to no request out of a connection to a target, before the HTTP client gives them to the
 * request that waits there. Confined to the event loop of the connection.
 */
final class ExtraResponseFilter extends ChannelDuplexHandler {
    private static final Set<HttpResponseStatus> BODILESS =
            Set.of(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED);

    /** An extra response that lasts longer was cut short, and would take the bytes of the next response for its own. */
    private static final Duration MAXIMUM_EXTRA_TIME = Duration.ofMillis(100);

    private final TargetConnectionState state;
    private final TimerService timers;
    private final String identifierHeader;
    private final Listener listener;
    private Disposable extraTimeout = Disposable.disposed();
    private boolean refused;

    /** Learns of extra responses. */
    interface Listener {

        /** Called with the head of a response that belongs to no request. */
        void onExtraResponse(int status, Optional<String> identifier);
    }

    /**
     * Creates the filter of one connection.
     *
     * @param identifierHeader header with the identifier that a response repeats from its request
     */
    ExtraResponseFilter(TargetConnectionState state, TimerService timers, String identifierHeader, Listener listener) {
        this.state = state;
        this.timers = timers;
        this.identifierHeader = identifierHeader;
        this.listener = listener;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof HttpRequest request) {
            state.requestSent(identifier(request.headers()), request.method().equals(HttpMethod.HEAD));
        }
        super.write(context, message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (refused) {
            ReferenceCountUtil.release(message);
            return;
        }
        refuseAmbiguousFraming(message);
        Decision decision = decide(message);
        if (message instanceof LastHttpContent) {
            extraTimeout.dispose();
        } else if (decision == Decision.DISCARD && message instanceof HttpResponse) {
            extraTimeout.dispose();
            extraTimeout = timers.after(MAXIMUM_EXTRA_TIME).subscribe(() -> {
                var unused = context.close();
            });
        }
        if (decision == Decision.DELIVER) {
            refused |= isInvalid(message);
            super.channelRead(context, message);
            return;
        }
        ReferenceCountUtil.release(message);
        if (decision == Decision.CLOSE) {
            refused = true;
            var unused = context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        extraTimeout.dispose();
        super.channelInactive(context);
    }

    /** Turns a response whose end is not known into an invalid one, for which the HTTP client closes the connection. */
    private void refuseAmbiguousFraming(Object message) {
        if (message instanceof HttpResponse response
                && response.headers() instanceof TargetResponseHeaders headers
                && headers.frameAmbiguously()) {
            refused = true;
            response.setDecoderResult(
                    DecoderResult.failure(new IllegalArgumentException("the response has an ambiguous length")));
        }
    }

    private Decision decide(Object message) {
        if (isInvalid(message)) {
            // These bytes are no response; the HTTP client reports them.
            return Decision.DELIVER;
        }
        if (message instanceof HttpResponse response) {
            Optional<String> identifier = identifier(response.headers());
            Decision decision = state.responseHead(response.status().code(), identifier);
            if (decision == Decision.DELIVER) {
                return decision;
            }
            listener.onExtraResponse(response.status().code(), identifier);
            return endsConnection(response) ? Decision.CLOSE : decision;
        }
        if (message instanceof HttpContent content) {
            Decision decision = state.responseBody(content.content().readableBytes());
            if (content instanceof LastHttpContent) {
                state.responseEnd();
            }
            // The extra response was cut, and the next one is taken for its body.
            boolean holdsResponse = decision == Decision.DISCARD
                    && StatusLines.find(content.content().toString(StandardCharsets.ISO_8859_1), 0)
                            .isPresent();
            return holdsResponse ? Decision.CLOSE : decision;
        }
        return Decision.DELIVER;
    }

    private static boolean isInvalid(Object message) {
        return message instanceof HttpObject part && part.decoderResult().isFailure();
    }

    /** Tells whether no other response can follow on the connection. */
    private boolean endsConnection(HttpResponse response) {
        if (InterimResponseLimit.isInterim(response.status().code())) {
            // The final response to the request in progress can still follow.
            return !HttpUtil.isKeepAlive(response) && !state.requestInProgress();
        }
        boolean framed = HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response)
                || BODILESS.contains(response.status());
        return !framed || !HttpUtil.isKeepAlive(response);
    }

    private Optional<String> identifier(HttpHeaders headers) {
        return Optional.ofNullable(headers.get(identifierHeader));
    }
}
