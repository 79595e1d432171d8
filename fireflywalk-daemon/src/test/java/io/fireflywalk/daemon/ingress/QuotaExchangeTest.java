package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.CallerLimits;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.core.ingress.RoutingConfiguration.Quotas;
import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.core.quota.AccountQuota;
import io.fireflywalk.core.quota.AccountQuota.Unit;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against instances that do not get from each other what the quota allows, or get more, through the messages and
 * rows that they exchange.
 */
class QuotaExchangeTest {
    private static final String ACCOUNT = "account \"1\"";
    private static final AccountQuota QUOTA = new AccountQuota(Unit.TOKENS, 20_000, 100_000, 200);

    private final TestScheduler scheduler = new TestScheduler();
    private final InMemoryFleetStore store = new InMemoryFleetStore(scheduler);
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private long admitted;
    private long refused;

    /** Decoder that returns the same quota for each row. */
    private static final class QuotaDecoder implements RowDecoder {
        @Override
        public String configurationKey() {
            return "config";
        }

        @Override
        public RoutingConfiguration configuration(Buffer value) {
            Quotas quotas = new Quotas(Map.of(ACCOUNT, QUOTA), Set.of());
            CallerLimits limits = new CallerLimits(1000, 16_384, Duration.ZERO, Duration.ZERO);
            return new RoutingConfiguration(1, List.of(), List.of(), Map.of(), true, limits, quotas);
        }

        @Override
        public TargetEntry target(String key, Buffer value) {
            throw new UnsupportedOperationException("no targets in this test");
        }
    }

    /** An instance whose messages arrive at once, or never if the other has ended. */
    private final class Instance implements PeerMessenger {
        private final Map<String, Handler> handlers = new HashMap<>();
        private final FleetCoordinator coordinator;
        private final QuotaExchange quotas;

        private Instance(String name) {
            SchedulerTimerService timers = new SchedulerTimerService(scheduler);
            IngressSettings settings = new IngressSettings(
                    new IngressSettings.Instance(name, "zone", "10.0.0.1"),
                    new IngressSettings.Listen("10.0.0.1:1", "10.0.0.1:2", 3, 4),
                    "10.0.0.2:1",
                    "",
                    new IngressSettings.Bounds(
                            8,
                            1,
                            1,
                            10,
                            3000,
                            5,
                            2000,
                            2000,
                            Optional.of(8.0),
                            Optional.of(0.1),
                            Optional.of(190_000.0)));
            Random random = new Random(name.hashCode());
            ConfigurationHolder configuration = new ConfigurationHolder(new QuotaDecoder());
            configuration.applyIfNewer(Buffer.buffer(), "test");
            coordinator = new FleetCoordinator(settings, store, timers, random);
            quotas = new QuotaExchange(
                    settings,
                    configuration,
                    coordinator,
                    store,
                    this,
                    timers,
                    random,
                    new IngressMetrics(new MetricRegistry()));
            coordinator.start();
            quotas.start();
        }

        @Override
        public void onMessage(String type, Handler handler) {
            handlers.put(type, handler);
        }

        @Override
        public void send(ObjectNode message, Collection<Peer> peers) {
            assertTrue(message.toString().length() <= MAXIMUM_BYTES, "message exceeds a datagram");
            for (Peer peer : peers) {
                if (instances.containsKey(peer.name())) {
                    instances.get(peer.name()).receive(message.toString());
                }
            }
        }

        private void receive(String message) {
            try {
                JsonNode decoded = Codec.json().read(message, JsonNode.class, "message");
                handlers.get(decoded.path(TYPE_FIELD).asText()).onMessage(decoded);
            } catch (FireflywalkException exception) {
                throw new AssertionError("a message of this release is refused", exception);
            }
        }

        private void request(int tokens) {
            Optional<String> account = Optional.of(ACCOUNT);
            long amount = quotas.charge(
                            account, new RequestDescription("attempt", Optional.empty(), List.of(), tokens - 10, 10))
                    .orElseThrow();
            if (quotas.take(ACCOUNT, amount)) {
                admitted += amount;
            } else {
                quotas.await(ACCOUNT, amount, () -> admitted += amount, retryAfter -> refused += amount);
            }
        }
    }

    private void start(int count) {
        for (int index = 0; index < count; index++) {
            instances.put("instance-" + index, new Instance("instance-" + index));
        }
        advance(6000);
    }

    private void advance(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    private void load(int seconds, int requestsPerSecond, int tokens) {
        for (int request = 0; request < seconds * requestsPerSecond; request++) {
            List.copyOf(instances.values()).get(request % instances.size()).request(tokens);
            advance(1000 / requestsPerSecond);
        }
        advance(100);
    }

    @Test
    void instancesGetWhatTheQuotaAllowsAndNoMore() {
        start(5);
        load(10, 40, 400);
        assertEquals(0, refused);
        load(8, 5, 17_000);
        assertTrue(refused > 0);
        assertTrue(admitted >= 0.9 * 18 * QUOTA.amountPerSecond(), "only " + admitted);
        assertTrue(
                admitted <= 1.1 * (18 * QUOTA.amountPerSecond() + QUOTA.burst()) + 190_000, "as much as " + admitted);
    }

    @Test
    void grantingGoesOnDuringAnOutageOfTheStoreAndAfterTheLossOfAGranter() {
        start(5);
        store.unavailable = true;
        load(5, 40, 400);
        assertEquals(0, refused);
        store.unavailable = false;
        advance(5000);
        String granter = holder(0);
        assertNotEquals(granter, holder(1));
        instances.get(granter).coordinator.stop();
        instances.remove(granter);
        load(20, 20, 400);
        assertEquals(0, refused);
    }

    private String holder(int pool) {
        String key = QuotaLeases.ROW_PREFIX + pool;
        return store.read(FleetStore.Table.COORDINATION, key, key + '\0', 1)
                .blockingGet()
                .rows()
                .get(0)
                .value()
                .orElseThrow()
                .toJsonObject()
                .getString("holder");
    }
}
