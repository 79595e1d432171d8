package io.fireflywalk.services.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AcceptLimitTest {
    private static final int PORT = 8405;
    private static final int OTHER_PORT = 8406;

    private final AcceptLimit limit = new AcceptLimit(new AcceptBounds(PORT, 2, 1));

    private EmbeddedChannel listener(int port) {
        return new EmbeddedChannel(limit) {
            @Override
            protected SocketAddress localAddress0() {
                return new InetSocketAddress(port);
            }
        };
    }

    private static EmbeddedChannel connect(EmbeddedChannel listener) {
        EmbeddedChannel connection = new EmbeddedChannel();
        listener.writeInbound(connection);
        return connection;
    }

    /** Guards against a listener whose peers keep those of the other listeners out. */
    @ParameterizedTest
    @CsvSource({PORT + ", 2, " + OTHER_PORT, OTHER_PORT + ", 1, " + PORT})
    void connectionsOverTheBoundOfTheirListenerAreClosed(int port, int accepted, int otherPort) {
        EmbeddedChannel listener = listener(port);
        for (int number = 0; number < accepted + 2; number++) {
            assertEquals(number < accepted, connect(listener).isOpen(), "connection " + number);
        }
        assertTrue(connect(listener(otherPort)).isOpen(), "connection to the other listener");
    }

    /** Guards against descriptors over the bound while those of closed connections are still open. */
    @Test
    void placeOfClosedConnectionIsFreeOnceItsEventLoopHasRunAgain() {
        EmbeddedChannel listener = listener(OTHER_PORT);
        EmbeddedChannel first = connect(listener);
        first.pipeline().close().syncUninterruptibly();
        first.runPendingTasks();
        assertFalse(connect(listener).isOpen(), "in the same turn of the event loop");
        first.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        first.runPendingTasks();
        assertTrue(connect(listener).isOpen(), "in a later turn");
    }
}
