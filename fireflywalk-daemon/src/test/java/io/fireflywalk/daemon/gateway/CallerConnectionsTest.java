package io.fireflywalk.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.daemon.settings.DaemonSettings.CallerLimits;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import java.lang.reflect.Proxy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a shutdown that closes a connection while its caller is sending the next request on it. */
class CallerConnectionsTest {
    private static final CallerLimits LIMITS = new CallerLimits(1000, 1000, 1000, 1000, 10, 10_000, 30_000, 100, 100);

    private final TestScheduler scheduler = new TestScheduler();
    private final CallerConnections connections = new CallerConnections(LIMITS, new SchedulerTimerService(scheduler));
    private boolean closed;

    /** Opens a connection whose close sets {@link #closed}. */
    private HttpConnection open() {
        AtomicReference<Handler<?>> closeHandler = new AtomicReference<>();
        HttpConnection connection = (HttpConnection) Proxy.newProxyInstance(
                HttpConnection.class.getClassLoader(),
                new Class<?>[] {HttpConnection.class},
                (proxy, method, arguments) -> {
                    switch (method.getName()) {
                        case "closeHandler" -> closeHandler.set((Handler<?>) arguments[0]);
                        case "close" -> {
                            closed = true;
                            closeHandler.get().handle(null);
                        }
                        case "hashCode" -> {
                            return 1;
                        }
                        case "equals" -> {
                            return proxy == arguments[0];
                        }
                        default -> {
                            // Other methods are not needed.
                        }
                    }
                    return null;
                });
        connections.opened(connection);
        return connection;
    }

    private void advance(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    @ParameterizedTest
    @CsvSource({"0, false", "200, false", "400, true"})
    void recentlyUsedConnectionStaysOpenForNextRequest(long milliseconds, boolean expected) {
        HttpConnection connection = open();
        connections.requestStarted(connection);
        advance(5000);
        connections.requestEnded(connection);
        connections.startDraining();
        advance(milliseconds);
        assertEquals(expected, closed);
        assertEquals(expected, connections.isEmpty());
    }

    @Test
    void connectionWithOpenRequestStaysOpen() {
        HttpConnection connection = open();
        connections.requestStarted(connection);
        connections.startDraining();
        advance(5000);
        assertEquals(false, closed);
        connections.requestEnded(connection);
        advance(500);
        assertEquals(true, closed);
    }
}
