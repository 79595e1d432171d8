package io.fireflywalk.services.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Handler of listening sockets that closes accepted connections over a bound. One port has a bound of its own, so that
 * its peers cannot keep those of the other listeners out. Thread-safe.
 */
@Sharable
final class AcceptLimit extends ChannelInboundHandlerAdapter {
    /** Any time that makes the event loop run its selector once before the task. */
    private static final long RELEASE_DELAY_MILLISECONDS = 1;

    private final AcceptBounds bounds;
    private final AtomicInteger openAtPort = new AtomicInteger();
    private final AtomicInteger openElsewhere = new AtomicInteger();

    AcceptLimit(AcceptBounds bounds) {
        this.bounds = bounds;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Channel accepted = (Channel) message;
        boolean atPort = isAtPort(context.channel().localAddress());
        AtomicInteger open = atPort ? openAtPort : openElsewhere;
        if (open.incrementAndGet() > (atPort ? bounds.connections() : bounds.otherConnections())) {
            open.decrementAndGet();
            accepted.unsafe().closeForcibly();
            return;
        }
        accepted.closeFuture().addListener(closed -> releaseLater(accepted.eventLoop(), open));
        context.fireChannelRead(message);
    }

    private boolean isAtPort(SocketAddress address) {
        return address instanceof InetSocketAddress socket && socket.getPort() == bounds.port();
    }

    /**
     * Releases the place of a closed connection once its file descriptor has been closed, which the JDK does when the
     * selector of its event loop runs again. A busy event loop closes many connections between two such runs, while the
     * acceptor's thread goes on. The scheduled task is not run before the selector, because it is added by a task.
     */
    private static void releaseLater(EventLoop eventLoop, AtomicInteger open) {
        if (!eventLoop.isShuttingDown()) {
            eventLoop.execute(() -> {
                var unused =
                        eventLoop.schedule(open::decrementAndGet, RELEASE_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
            });
        }
    }
}
