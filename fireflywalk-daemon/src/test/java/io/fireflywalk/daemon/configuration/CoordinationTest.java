package io.fireflywalk.daemon.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.configuration.VirtualFleet.Node;
import io.fireflywalk.standin.TableFault;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that instances keep a consistent view of configuration and membership under failures, in virtual time. */
class CoordinationTest {
    private static final String KEY = "morning";

    @Example
    void storeOutageOfMinutesDoesNotStopRequestsWithApiKeys() {
        VirtualFleet fleet = new VirtualFleet(1, 7);
        fleet.createKey(KEY);
        fleet.setStoreUnavailable(true);
        for (int second = 0; second < 300; second++) {
            fleet.advance(1_000);
            fleet.nodes.forEach(node -> assertTrue(node.admits(KEY), node.member.instance()));
        }
        var change = fleet.nodes.get(1).change(revoke()).test();
        fleet.advance(10_000);
        change.assertError(cause -> ((FireflywalkException) cause).kind() == ErrorKind.STORE_UNAVAILABLE);
        fleet.setStoreUnavailable(false);
        fleet.advance(5_000);
        var retry = fleet.nodes.get(1).change(revoke()).test();
        fleet.advance(2_000);
        retry.assertComplete();
        fleet.nodes.forEach(node -> assertFalse(node.admits(KEY)));
    }

    @Example
    void coordinatorKilledDuringStoreOutageIsReplacedBeforeFreshnessExpires() {
        VirtualFleet fleet = new VirtualFleet(2, 7);
        fleet.createKey(KEY);
        fleet.setStoreUnavailable(true);
        fleet.advance(20_000);
        Node coordinator = fleet.nodes.stream()
                .filter(node -> node.coordination.heartbeats().isCoordinating())
                .findFirst()
                .orElseThrow();
        fleet.kill(coordinator);
        for (int step = 0; step < 200; step++) {
            fleet.advance(100);
            fleet.nodes.forEach(node -> assertTrue(node.admits(KEY), node.member.instance()));
        }
        assertEquals(
                6, fleet.nodes.get(0).coordination.heartbeats().liveMembers().size());
    }

    @Example
    void isolatedInstanceRefusesApiKeysWithinFreshnessLimitAndResumes() {
        VirtualFleet fleet = new VirtualFleet(3, 5);
        fleet.createKey(KEY);
        Node isolated = fleet.nodes.get(4);
        isolated.store.setUnavailable(true);
        // Only messages to the instance are lost; its own messages still reach its peers.
        fleet.nodes.forEach(node -> fleet.network.block(node.member.incarnation(), isolated.member.incarnation()));
        var revocation = fleet.nodes.get(0).change(revoke()).test();
        fleet.advance(1_000);
        revocation.assertNotComplete();
        assertTrue(isolated.admits(KEY), "neither reached by the revocation nor past its freshness limit");
        fleet.advance(4_300);
        assertFalse(isolated.coordination.mayServeAuthenticatedRoutes());
        fleet.advance(1_500);
        revocation.assertComplete();
        assertFalse(isolated.coordination.mayServeAuthenticatedRoutes());
        fleet.network.unblockAll();
        fleet.advance(6_000);
        assertTrue(
                isolated.coordination.mayServeAuthenticatedRoutes(),
                "freshness checks by peers suffice without the store");
        assertFalse(isolated.admits(KEY));
    }

    @Example
    void conflictErrorNamesTheConcurrentChange() {
        VirtualFleet fleet = new VirtualFleet(4, 3);
        fleet.createKey(KEY);
        long base = fleet.nodes.get(0).coordination.snapshot().version();
        var first = fleet.nodes.get(0).changeFrom(base, "ada", account("first")).test();
        var second =
                fleet.nodes.get(1).changeFrom(base, "grace", account("second")).test();
        fleet.advance(3_000);
        first.assertComplete();
        second.assertError(cause -> {
            FireflywalkException error = (FireflywalkException) cause;
            return error.kind() == ErrorKind.VERSION_CONFLICT
                    && error.detail().contains("by ada (reason of ada) changed client_account/first");
        });
        fleet.nodes.forEach(node -> {
            assertTrue(node.coordination.snapshot().clientAccount("first").isPresent());
            assertEquals(Optional.empty(), node.coordination.snapshot().clientAccount("second"));
        });
    }

    @Example
    void membershipChangeSinceBaseVersionDoesNotConflict() {
        VirtualFleet fleet = new VirtualFleet(5, 3);
        long base = fleet.nodes.get(0).coordination.snapshot().version();
        fleet.startNode("instance-late");
        fleet.advanceUntilMemberCount(4);
        var change =
                fleet.nodes.get(0).changeFrom(base, "ada", account("first")).test();
        fleet.advance(2_000);
        change.assertComplete();
    }

    @Example
    void restartedInstanceReplacesItsOldIncarnationWithoutRevertingVersion() {
        VirtualFleet fleet = new VirtualFleet(6, 3);
        fleet.createKey(KEY);
        long versionBefore = fleet.nodes.get(2).coordination.snapshot().version();
        fleet.kill(fleet.nodes.get(2));
        Node restarted = fleet.startNode("instance-2");
        assertFalse(restarted.coordination.mayServeAuthenticatedRoutes(), "no freshness check has succeeded yet");
        fleet.advanceUntilMemberCount(3);
        assertTrue(restarted.coordination.snapshot().version() > versionBefore);
        assertTrue(restarted.admits(KEY));
    }

    @Example
    void fleetRecoversAfterAllInstancesAreKilled() {
        VirtualFleet fleet = new VirtualFleet(7, 3);
        fleet.createKey(KEY);
        List.copyOf(fleet.nodes).forEach(fleet::kill);
        for (int index = 0; index < 3; index++) {
            fleet.startNode("instance-" + index);
        }
        fleet.advanceUntilMemberCount(3);
        fleet.nodes.forEach(node -> assertTrue(node.admits(KEY)));
    }

    @Example
    void leavingInstanceIsRemovedAndRefusesApiKeys() {
        VirtualFleet fleet = new VirtualFleet(8, 3);
        Node leaving = fleet.nodes.get(1);
        var departure = leaving.coordination.leave().test();
        assertFalse(leaving.coordination.mayServeAuthenticatedRoutes());
        fleet.advance(2_000);
        departure.assertComplete();
        fleet.kill(leaving);
        fleet.advanceUntilMemberCount(2);
    }

    @Property(tries = 40)
    void acknowledgedRevocationHoldsEverywhereUnderLossPartitionsAndStoreFaults(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 7) int size) {
        VirtualFleet fleet = new VirtualFleet(seed, size);
        fleet.createKey(KEY);
        fleet.network.setLossFraction(0.2);
        fleet.nodes.forEach(node -> node.store.failRandomly(seed, 0.3));
        for (int index = 0; index < size; index++) {
            Node from = fleet.nodes.get(fleet.random.nextInt(size));
            Node to = fleet.nodes.get(fleet.random.nextInt(size));
            fleet.network.block(from.member.incarnation(), to.member.incarnation());
        }
        Node operator = fleet.nodes.get(fleet.random.nextInt(size));
        operator.store.failWrites(TableFault.TIMEOUT_WITH_EFFECT);
        var revocation = operator.change(revoke()).test();
        long[] versions = new long[size];
        for (int step = 0; step < 300; step++) {
            fleet.advance(50);
            for (int index = 0; index < size; index++) {
                Node node = fleet.nodes.get(index);
                long version = node.coordination.snapshot().version();
                assertTrue(version >= versions[index], "configuration version decreased");
                versions[index] = version;
                assertFalse(
                        !revocation.values().isEmpty() && node.admits(KEY),
                        node.member.instance() + " admits a revoked key after the acknowledgement");
            }
        }
    }

    private static List<DocumentChange> revoke() {
        return List.of(DocumentChange.put(VirtualFleet.key(KEY, true)));
    }

    private static List<DocumentChange> account(String name) {
        return List.of(DocumentChange.put(new ClientAccount(name, 1, 10)));
    }
}
