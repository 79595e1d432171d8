package io.fireflywalk.services.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.vertx.core.net.ClientOptionsBase;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.spi.transport.Transport;

/**
 * Java NIO transport that reads a bounded number of bytes of a connection in each turn of the event loop. By default up
 * to a megabyte is read before other connections and timers are served; a peer that sends chunks of one byte makes that
 * a turn of half a second and more.
 */
public final class BoundedReadTransport implements io.vertx.core.transport.Transport {
    private static final int MINIMUM_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;
    /** Some 1,400 chunks of one byte, which take a few milliseconds to decode. */
    private static final int MAXIMUM_READ_BYTES = 8192;

    private static final int READS_PER_TURN = 1;

    private final Transport implementation;

    /** Creates a transport whose servers accept any number of connections. */
    public BoundedReadTransport() {
        this(AcceptBounds.NONE);
    }

    /**
     * Creates a transport with bounds for the open connections of its servers. A connection over them is closed where it
     * is accepted, so that a burst cannot use up the file descriptors before an event loop has seen it.
     */
    public BoundedReadTransport(AcceptBounds bounds) {
        this.implementation = new Implementation(new AcceptLimit(bounds));
    }

    @Override
    public String name() {
        return "bounded-nio";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public Transport implementation() {
        return implementation;
    }

    /** Adds the bound to the options of each connection, also where the options of a client or server set their own. */
    private static final class Implementation implements Transport {
        private final Transport nio = io.vertx.core.transport.Transport.NIO.implementation();
        private final AcceptLimit acceptLimit;
        private final RecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator(
                        MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES)
                .maxMessagesPerRead(READS_PER_TURN);

        Implementation(AcceptLimit acceptLimit) {
            this.acceptLimit = acceptLimit;
        }

        @Override
        public void configure(
                ClientOptionsBase options, int connectTimeout, boolean domainSocket, Bootstrap bootstrap) {
            nio.configure(options, connectTimeout, domainSocket, bootstrap);
            bootstrap.option(ChannelOption.RECVBUF_ALLOCATOR, allocator);
        }

        @Override
        public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
            nio.configure(options, domainSocket, bootstrap);
            bootstrap.childOption(ChannelOption.RECVBUF_ALLOCATOR, allocator);
            bootstrap.handler(acceptLimit);
        }

        @Override
        public IoHandlerFactory ioHandlerFactory() {
            return nio.ioHandlerFactory();
        }

        @Override
        public DatagramChannel datagramChannel() {
            return nio.datagramChannel();
        }

        @Override
        @SuppressWarnings("deprecation") // the method that the interface requires has no other form
        public DatagramChannel datagramChannel(InternetProtocolFamily family) {
            return nio.datagramChannel(family);
        }

        @Override
        public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
            return nio.channelFactory(domainSocket);
        }

        @Override
        public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
            return nio.serverChannelFactory(domainSocket);
        }
    }
}
