package io.fireflywalk.daemon.endtoend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.standin.SimulatedOrderEngine;
import io.fireflywalk.standin.SimulatedOrderEngine.ReceivedOrder;
import io.fireflywalk.standin.StandinMain;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests with real processes that continuously send orders that engines and platform execute no conflicting, outdated or
 * duplicate order when the lease holder is killed, or is suspended until its lease has expired and then resumed.
 */
class AuthorityFailureTest {
    private static final String PORT_PATTERN = "port (\\d+)";
    private static final List<String> INSTANCE_NAMES = List.of("one", "two", "three");
    private static final int MINIMUM_ORDERS = 3;
    private static final int MAXIMUM_POLLS = 600;

    @TempDir
    private Path directory;

    private final HttpClient http = HttpClient.newHttpClient();
    private final Map<String, ChildProcess> instances = new HashMap<>();
    private final List<ChildProcess> standins = new ArrayList<>();
    private int platformPort;
    private int fencingEnginePort;
    private int nonFencingEnginePort;

    @BeforeEach
    void start() throws IOException {
        int tablePort = startStandin("table-service");
        platformPort = startStandin("platform", "--instance-lag-milliseconds", "500");
        fencingEnginePort = startStandin("model-engine", "--change-milliseconds", "100");
        nonFencingEnginePort = startStandin(
                "model-engine", "--change-milliseconds", "100", "--order-checking", "IGNORES_FENCING_TOKEN");
        for (String name : INSTANCE_NAMES) {
            instances.put(
                    name,
                    ChildProcess.start(
                            directory.resolve(name + ".log"),
                            AuthorityProcess.class,
                            name,
                            String.join(",", INSTANCE_NAMES),
                            Integer.toString(tablePort),
                            Integer.toString(platformPort),
                            Integer.toString(fencingEnginePort),
                            Integer.toString(nonFencingEnginePort)));
        }
    }

    @AfterEach
    void stop() {
        instances.values().forEach(ChildProcess::close);
        standins.forEach(ChildProcess::close);
    }

    @Test
    void killedHolderIsReplacedWithoutConflictingOrders() throws Exception {
        awaitEffectiveOrders(fencingEnginePort, MINIMUM_ORDERS);
        awaitEffectiveOrders(nonFencingEnginePort, 1);
        String holder = lastSender(fencingEnginePort);
        instances.get(holder).kill();
        httpGet(platformPort, "/standin/v1/instance?status=TERMINATED&incarnation=" + holder);
        awaitNewSender(fencingEnginePort, holder);
        awaitNewSender(nonFencingEnginePort, holder);
        assertOrdersConsistent();
    }

    @Test
    void holderSuspendedPastItsLeaseHasNoEffectWhenItResumes() throws Exception {
        awaitEffectiveOrders(fencingEnginePort, MINIMUM_ORDERS);
        awaitEffectiveOrders(nonFencingEnginePort, 1);
        String holder = lastSender(fencingEnginePort);
        instances.get(holder).signal("STOP");
        awaitNewSender(fencingEnginePort, holder);
        long token = lastToken(fencingEnginePort);
        instances.get(holder).signal("CONT");
        // Nothing proved that the suspended holder had ended, so the engine that ignores fencing tokens gets orders
        // from
        // a new sender only now.
        awaitNewSender(nonFencingEnginePort, holder);
        awaitEffectiveOrders(
                fencingEnginePort, effectiveOrders(fencingEnginePort).size() + MINIMUM_ORDERS);
        for (ReceivedOrder received : effectiveOrders(fencingEnginePort)) {
            boolean stale = received.order().token() < token
                    && received.order().sender().equals(holder);
            assertTrue(!stale || received.at() < firstEffectTime(token), () -> "stale order took effect: " + received);
        }
        assertOrdersConsistent();
    }

    private void assertOrdersConsistent() throws Exception {
        for (int port : List.of(fencingEnginePort, nonFencingEnginePort)) {
            long generation = 0;
            for (ReceivedOrder received : effectiveOrders(port)) {
                assertEquals(SimulatedOrderEngine.Effect.CHANGE, received.effect(), received::toString);
                assertTrue(received.order().generation() > generation, () -> "outdated order took effect: " + received);
                generation = received.order().generation();
            }
        }
        List<String> executed =
                List.of(Codec.json().read(httpGet(platformPort, "/standin/v1/executed"), String[].class, "platform"));
        assertTrue(executed.size() > MINIMUM_ORDERS, executed::toString);
        assertEquals(executed.size(), new HashSet<>(executed).size(), "an order was executed more than once");
    }

    private long firstEffectTime(long token) throws Exception {
        return effectiveOrders(fencingEnginePort).stream()
                .filter(received -> received.order().token() == token)
                .findFirst()
                .orElseThrow()
                .at();
    }

    private String lastSender(int port) throws Exception {
        List<ReceivedOrder> effectiveOrders = effectiveOrders(port);
        return effectiveOrders.get(effectiveOrders.size() - 1).order().sender();
    }

    private long lastToken(int port) throws Exception {
        List<ReceivedOrder> effectiveOrders = effectiveOrders(port);
        return effectiveOrders.get(effectiveOrders.size() - 1).order().token();
    }

    private void awaitNewSender(int port, String sender) throws Exception {
        for (int poll = 0; lastSender(port).equals(sender); poll++) {
            assertTrue(poll < MAXIMUM_POLLS, () -> "no successor of " + sender + " at port " + port);
            Thread.sleep(100);
        }
    }

    private void awaitEffectiveOrders(int port, int count) throws Exception {
        for (int poll = 0; effectiveOrders(port).size() < count; poll++) {
            assertTrue(poll < MAXIMUM_POLLS, () -> "fewer than " + count + " orders took effect at port " + port);
            Thread.sleep(100);
        }
    }

    private List<ReceivedOrder> effectiveOrders(int port) throws Exception {
        String body = httpGet(port, "/engine/v1/orders/received");
        return List.of(Codec.json().read(body, ReceivedOrder[].class, "engine")).stream()
                .filter(received -> received.effect() == SimulatedOrderEngine.Effect.CHANGE
                        || received.effect() == SimulatedOrderEngine.Effect.CONFLICT)
                .toList();
    }

    private String httpGet(int port, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    private int startStandin(String... arguments) throws IOException {
        ChildProcess process = ChildProcess.start(directory.resolve("standin.log"), StandinMain.class, arguments);
        standins.add(process);
        return process.awaitNumber(PORT_PATTERN);
    }
}
