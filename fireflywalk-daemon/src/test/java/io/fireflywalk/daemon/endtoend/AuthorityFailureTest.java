package io.fireflywalk.daemon.endtoend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.standin.EngineOrderBook;
import io.fireflywalk.standin.EngineOrderBook.ReceivedOrder;
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
 * Guards engines and platform against a holder that is killed, or stopped past its lease and continued, with real
 * processes that send orders all the time.
 */
class AuthorityFailureTest {
    private static final String LISTENING = "port (\\d+)";
    private static final List<String> NAMES = List.of("one", "two", "three");
    private static final int MORE_EFFECTS = 3;
    private static final int WAIT_ROUNDS = 600;

    @TempDir
    private Path directory;

    private final HttpClient http = HttpClient.newHttpClient();
    private final Map<String, ChildProcess> instances = new HashMap<>();
    private final List<ChildProcess> standins = new ArrayList<>();
    private int platformPort;
    private int checkingPort;
    private int ignoringPort;

    @BeforeEach
    void start() throws IOException {
        int tablePort = standin("table-service");
        platformPort = standin("platform", "--instance-lag-milliseconds", "500");
        checkingPort = standin("model-engine", "--change-milliseconds", "100");
        ignoringPort =
                standin("model-engine", "--change-milliseconds", "100", "--order-checking", "IGNORES_FENCING_TOKEN");
        for (String name : NAMES) {
            instances.put(
                    name,
                    ChildProcess.start(
                            directory.resolve(name + ".log"),
                            AuthorityProcess.class,
                            name,
                            String.join(",", NAMES),
                            Integer.toString(tablePort),
                            Integer.toString(platformPort),
                            Integer.toString(checkingPort),
                            Integer.toString(ignoringPort)));
        }
    }

    @AfterEach
    void stop() {
        instances.values().forEach(ChildProcess::close);
        standins.forEach(ChildProcess::close);
    }

    @Test
    void killedHolderIsSucceededWithoutConflictingOrders() throws Exception {
        awaitEffects(checkingPort, MORE_EFFECTS);
        awaitEffects(ignoringPort, 1);
        String holder = lastSender(checkingPort);
        instances.get(holder).kill();
        get(platformPort, "/standin/v1/instance?status=TERMINATED&incarnation=" + holder);
        awaitOtherSender(checkingPort, holder);
        awaitOtherSender(ignoringPort, holder);
        checkReceivers();
    }

    @Test
    void holderStoppedPastItsLeaseHasNoEffectWhenItContinues() throws Exception {
        awaitEffects(checkingPort, MORE_EFFECTS);
        awaitEffects(ignoringPort, 1);
        String holder = lastSender(checkingPort);
        instances.get(holder).signal("STOP");
        awaitOtherSender(checkingPort, holder);
        long token = lastToken(checkingPort);
        instances.get(holder).signal("CONT");
        // The engine that ignores tokens goes on only now, because nothing proved that the stopped holder had ended.
        awaitOtherSender(ignoringPort, holder);
        awaitEffects(checkingPort, effects(checkingPort).size() + MORE_EFFECTS);
        for (ReceivedOrder received : effects(checkingPort)) {
            boolean late = received.order().token() < token
                    && received.order().sender().equals(holder);
            assertTrue(!late || received.at() < firstEffectOf(token), () -> "stale order took effect: " + received);
        }
        checkReceivers();
    }

    private void checkReceivers() throws Exception {
        for (int port : List.of(checkingPort, ignoringPort)) {
            long generation = 0;
            for (ReceivedOrder received : effects(port)) {
                assertEquals(EngineOrderBook.Effect.CHANGE, received.effect(), received::toString);
                assertTrue(received.order().generation() > generation, () -> "older order took effect: " + received);
                generation = received.order().generation();
            }
        }
        List<String> executed =
                List.of(Codec.json().read(get(platformPort, "/standin/v1/executed"), String[].class, "platform"));
        assertTrue(executed.size() > MORE_EFFECTS, executed::toString);
        assertEquals(executed.size(), new HashSet<>(executed).size(), "an order was executed twice");
    }

    private long firstEffectOf(long token) throws Exception {
        return effects(checkingPort).stream()
                .filter(received -> received.order().token() == token)
                .findFirst()
                .orElseThrow()
                .at();
    }

    private String lastSender(int port) throws Exception {
        List<ReceivedOrder> effects = effects(port);
        return effects.get(effects.size() - 1).order().sender();
    }

    private long lastToken(int port) throws Exception {
        List<ReceivedOrder> effects = effects(port);
        return effects.get(effects.size() - 1).order().token();
    }

    private void awaitOtherSender(int port, String sender) throws Exception {
        for (int round = 0; lastSender(port).equals(sender); round++) {
            assertTrue(round < WAIT_ROUNDS, () -> "no successor of " + sender + " at port " + port);
            Thread.sleep(100);
        }
    }

    private void awaitEffects(int port, int count) throws Exception {
        for (int round = 0; effects(port).size() < count; round++) {
            assertTrue(round < WAIT_ROUNDS, () -> "fewer than " + count + " orders took effect at port " + port);
            Thread.sleep(100);
        }
    }

    private List<ReceivedOrder> effects(int port) throws Exception {
        String body = get(port, "/engine/v1/orders/received");
        return List.of(Codec.json().read(body, ReceivedOrder[].class, "engine")).stream()
                .filter(received -> received.effect() == EngineOrderBook.Effect.CHANGE
                        || received.effect() == EngineOrderBook.Effect.CONFLICT)
                .toList();
    }

    private String get(int port, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    private int standin(String... arguments) throws IOException {
        ChildProcess process = ChildProcess.start(directory.resolve("standin.log"), StandinMain.class, arguments);
        standins.add(process);
        return process.awaitNumber(LISTENING);
    }
}
