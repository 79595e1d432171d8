package io.fireflywalk.daemon.claim;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.daemon.peer.MemberDirectory;
import io.fireflywalk.daemon.peer.PeerClient;
import io.fireflywalk.daemon.peer.PeerServer;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.services.object.HttpObjectStore;
import io.fireflywalk.services.object.ObjectStore;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Vertx;
import java.time.Duration;

/**
 * The parts of idempotency claims in one instance. Confined to one event loop.
 *
 * @param service claims and outcomes
 * @param router routing to the shards' owners
 * @param committer batches of the shards that this instance owns
 * @param sweeper removal of expired claims
 */
public record ClaimParts(ClaimService service, ClaimRouter router, ClaimCommitter committer, ClaimSweeper sweeper) {
    private static final Duration OBJECT_DEADLINE = Duration.ofSeconds(2);

    /** Builds the parts and adds the peer call. */
    public static ClaimParts create(
            Vertx vertx,
            DaemonSettings settings,
            TableService tables,
            TimerService timers,
            Member self,
            MemberDirectory members,
            PeerServer peers,
            MetricRegistry metrics) {
        DaemonSettings.ClaimSettings claims = settings.claims();
        ClaimLimits limits = new ClaimLimits(
                claims.shards(),
                Duration.ofMillis(claims.batchMilliseconds()),
                Duration.ofMillis(claims.deadlineMilliseconds()),
                Duration.ofMillis(claims.outcomeHoldMilliseconds()),
                claims.expiryHours());
        // Half of the claim's deadline is left for committing the operation here if the owner is silent.
        Duration peerDeadline = limits.deadline().dividedBy(2);
        PeerClient client = new PeerClient(vertx, peerDeadline);
        ObjectStore objects =
                new HttpObjectStore(vertx, claims.objectStoreHost(), claims.objectStorePort(), OBJECT_DEADLINE);
        ClaimCommitter committer = new ClaimCommitter(
                tables, timers, limits.shards(), limits.batchInterval(), limits.expiryHours(), metrics);
        ClaimSender sender = (peer, message) ->
                client.call(peer, ClaimMessages.PATH, message, ClaimMessages.Results.class, peerDeadline);
        ClaimRouter router = new ClaimRouter(committer, sender, members, self, timers, limits.shards());
        peers.addCall(ClaimMessages.PATH, ClaimMessages.Operations.class, router::accept);
        return new ClaimParts(
                new ClaimService(router, objects, members, self, timers, limits, metrics),
                router,
                committer,
                new ClaimSweeper(tables, objects, members, self, timers, limits));
    }

    /** Starts all parts. */
    public void start() {
        service.start();
        sweeper.start();
    }

    /** Stops all parts. */
    public void stop() {
        sweeper.stop();
        service.stop();
        router.stop();
        committer.stop();
    }
}
