package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.daemon.operators.ConfigurationChanger;
import io.fireflywalk.daemon.peer.SimulatedPeerNetwork;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.instance.InstanceStatus;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.table.ResolvingTableService;
import io.fireflywalk.services.table.TableMeters;
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

/** Several instances' coordination in one thread and in virtual time, with the store and the network under control. */
final class VirtualFleet {
    static final Duration FRESHNESS_LIMIT = Duration.ofSeconds(5);
    private static final Duration POLL = Duration.ofMillis(500);

    final TestScheduler scheduler = new TestScheduler();
    final SchedulerTimerService timers = new SchedulerTimerService(scheduler);
    final Random random;
    final SimulatedPeerNetwork network;
    final SimulatedInstanceList instances = new SimulatedInstanceList(timers, Duration.ofSeconds(20));
    final InMemoryTableService memory = new InMemoryTableService();
    final List<Node> nodes = new ArrayList<>();
    private int runs;

    VirtualFleet(long seed, int size) {
        random = new Random(seed);
        network = new SimulatedPeerNetwork(timers, random, Duration.ofMillis(1));
        for (int index = 0; index < size; index++) {
            startNode("instance-" + index);
        }
        advanceUntilMembers(size);
    }

    Node startNode(String instance) {
        Node node = new Node(instance, ++runs);
        nodes.add(node);
        node.coordination.start(1);
        return node;
    }

    /** Kills a run; the platform's list shows it later. */
    void kill(Node node) {
        node.coordination.stop();
        network.remove(node.member.incarnation());
        nodes.remove(node);
        instances.report(
                new InstanceStatus(node.member.incarnation(), node.member.instance(), InstanceStatus.State.TERMINATED));
    }

    void setStoreOut(boolean out) {
        nodes.forEach(node -> node.store.setOut(out));
    }

    void advance(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    void advanceUntilMembers(int size) {
        for (int step = 0; step < 1_200; step++) {
            advance(100);
            boolean reached = nodes.stream()
                    .allMatch(node -> node.coordination.snapshot().memberSet().size() == size
                            && node.coordination.mayServeKeyedRoutes());
            if (reached) {
                return;
            }
        }
        throw new AssertionError("members did not settle at " + size + ": "
                + nodes.stream()
                        .map(node -> node.coordination.snapshot().memberSet().size())
                        .toList());
    }

    /** Creates the account and a key, and waits until it is in force everywhere. */
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

    /** One instance. */
    final class Node {
        final Member member;
        final FaultyTableService store;
        final SimulatedPeerNetwork.Endpoint endpoint;
        final Coordination coordination;
        final ConfigurationChanger changer;

        Node(String instance, int run) {
            String zone = "zone-" + run % 3;
            member = new Member(instance + "-run-" + run, instance, "region", zone, "127.0.0.1", 1);
            store = new FaultyTableService(memory, timers, Duration.ofMillis(300));
            var tables = new ResolvingTableService(
                    store,
                    timers,
                    TableRetryPolicy.within(Duration.ofSeconds(2)),
                    random::nextDouble,
                    new TableMeters(timers));
            endpoint = network.endpoint(member.incarnation());
            coordination = new Coordination(member, tables, instances, endpoint, timers, random, POLL, FRESHNESS_LIMIT);
            coordination.register(endpoint);
            changer = new ConfigurationChanger(coordination, timers);
        }

        Single<Long> change(List<DocumentChange> changes) {
            return changeFrom(coordination.snapshot().version(), "operator", changes);
        }

        Single<Long> changeFrom(long base, String author, List<DocumentChange> changes) {
            return changer.change(new OperatorMessages.ChangeRequest(
                    base, author, "reason of " + author, DocumentCodec.toMessages(changes)));
        }

        /** Tells whether a request with the key would be admitted now. */
        boolean serves(String key) {
            return coordination.mayServeKeyedRoutes()
                    && coordination
                            .snapshot()
                            .apiKey(key)
                            .filter(document -> !document.revoked())
                            .isPresent();
        }
    }
}
