package io.fireflywalk.services.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.atomic.AtomicInteger;

/** Handler of listening sockets that closes accepted connections over a bound. Thread-safe. */
@Sharable
final class AcceptLimit extends ChannelInboundHandlerAdapter {
    private final int maximumConnections;
    private final AtomicInteger open = new AtomicInteger();

    AcceptLimit(int maximumConnections) {
        this.maximumConnections = maximumConnections;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Channel accepted = (Channel) message;
        if (open.incrementAndGet() > maximumConnections) {
            open.decrementAndGet();
            accepted.unsafe().closeForcibly();
            return;
        }
        accepted.closeFuture().addListener(closed -> open.decrementAndGet());
        context.fireChannelRead(message);
    }
}
