package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.daemon.operators.ConfigurationChangeService;
import io.fireflywalk.daemon.peer.SimulatedPeerNetwork;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.instance.InstanceStatus;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.table.ResolvingTableService;
import io.fireflywalk.services.table.TableMetrics;
import io.fireflywalk.services.table.TableRetryPolicy;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.fireflywalk.standin.FaultyTableService;
import io.fireflywalk.standin.SimulatedInstanceList;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Coordination of several instances in one thread and in virtual time, with fault injection for store and network. */
final class VirtualFleet {
    static final Duration FRESHNESS_LIMIT = Duration.ofSeconds(5);
    private static final Duration POLL_PERIOD = Duration.ofMillis(500);

    final TestScheduler scheduler = new TestScheduler();
    final SchedulerTimerService timers = new SchedulerTimerService(scheduler);
    final Random random;
    final SimulatedPeerNetwork network;
    final SimulatedInstanceList instances = new SimulatedInstanceList(timers, Duration.ofSeconds(20));
    final InMemoryTableService sharedStore = new InMemoryTableService();
    final List<Node> nodes = new ArrayList<>();
    private int startedNodes;

    VirtualFleet(long seed, int size) {
        random = new Random(seed);
        network = new SimulatedPeerNetwork(timers, random, Duration.ofMillis(1));
        for (int index = 0; index < size; index++) {
            startNode("instance-" + index);
        }
        advanceUntilMemberCount(size);
    }

    Node startNode(String instance) {
        Node node = new Node(instance, ++startedNodes);
        nodes.add(node);
        node.coordination.start(1);
        return node;
    }

    /** Kills an instance; the platform's instance list shows it as terminated after a delay. */
    void kill(Node node) {
        node.coordination.stop();
        network.remove(node.member.incarnation());
        nodes.remove(node);
        instances.recordStatus(
                new InstanceStatus(node.member.incarnation(), node.member.instance(), InstanceStatus.State.TERMINATED));
    }

    void setStoreUnavailable(boolean unavailable) {
        nodes.forEach(node -> node.store.setUnavailable(unavailable));
    }

    void advance(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    void advanceUntilMemberCount(int size) {
        for (int step = 0; step < 1_200; step++) {
            advance(100);
            boolean converged = nodes.stream()
                    .allMatch(node -> node.coordination.snapshot().memberSet().size() == size
                            && node.coordination.mayServeAuthenticatedRoutes());
            if (converged) {
                return;
            }
        }
        throw new AssertionError("members did not converge to " + size + ": "
                + nodes.stream()
                        .map(node -> node.coordination.snapshot().memberSet().size())
                        .toList());
    }

    /** Creates the client account and an API key, and waits until the change is acknowledged. */
    void createKey(String name) {
        Node node = nodes.get(0);
        List<DocumentChange> changes =
                List.of(DocumentChange.put(new ClientAccount("county", 1, 10)), DocumentChange.put(key(name, false)));
        TestObserver<Long> change = node.change(changes).test();
        advance(2_000);
        change.assertComplete();
    }

    static ApiKey key(String name, boolean revoked) {
        return new ApiKey(name, "county", SecretDigest.of("secret"), revoked);
    }

    final class Node {
        final Member member;
        final FaultyTableService store;
        final SimulatedPeerNetwork.Endpoint endpoint;
        final Coordination coordination;
        final ConfigurationChangeService changeService;

        Node(String instance, int run) {
            String zone = "zone-" + run % 3;
            member = new Member(instance + "-run-" + run, instance, "region", zone, "127.0.0.1", 1);
            store = new FaultyTableService(sharedStore, timers, Duration.ofMillis(300));
            var tables = new ResolvingTableService(
                    store,
                    timers,
                    TableRetryPolicy.forCallDeadline(Duration.ofSeconds(2)),
                    random::nextDouble,
                    new TableMetrics(timers));
            endpoint = network.endpoint(member.incarnation());
            coordination =
                    new Coordination(member, tables, instances, endpoint, timers, random, POLL_PERIOD, FRESHNESS_LIMIT);
            coordination.register(endpoint);
            changeService = new ConfigurationChangeService(coordination, timers);
        }

        Single<Long> change(List<DocumentChange> changes) {
            return changeFrom(coordination.snapshot().version(), "operator", changes);
        }

        Single<Long> changeFrom(long base, String author, List<DocumentChange> changes) {
            return changeService.change(new OperatorMessages.ChangeRequest(
                    base, author, "reason of " + author, DocumentCodec.toMessages(changes)));
        }

        /** Returns whether a request with the API key would be admitted now. */
        boolean admits(String key) {
            return coordination.mayServeAuthenticatedRoutes()
                    && coordination
                            .snapshot()
                            .apiKey(key)
                            .filter(document -> !document.revoked())
                            .isPresent();
        }
    }
}
