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
 * Components that handle idempotency claims in one instance. Confined to one event loop.
 *
 * @param service claims keys and stores outcomes
 * @param router routes operations to the owners of their shards
 * @param committer commits operations in batches
 * @param sweeper removes expired claims
 */
public record ClaimComponents(
        ClaimService service, ClaimRouter router, ClaimCommitter committer, ClaimSweeper sweeper) {
    private static final Duration OBJECT_STORE_TIMEOUT = Duration.ofSeconds(2);

    /** Creates the components and registers the handler for operations from peers. */
    public static ClaimComponents create(
            Vertx vertx,
            DaemonSettings settings,
            TableService tables,
            TimerService timers,
            Member self,
            MemberDirectory members,
            PeerServer peers,
            MetricRegistry metrics) {
        DaemonSettings.ClaimSettings claimSettings = settings.claims();
        ClaimLimits limits = new ClaimLimits(
                claimSettings.shards(),
                Duration.ofMillis(claimSettings.batchMilliseconds()),
                Duration.ofMillis(claimSettings.deadlineMilliseconds()),
                Duration.ofMillis(claimSettings.outcomeHoldMilliseconds()),
                claimSettings.expiryHours());
        // Half of the time is left to commit the operation locally if the owner does not respond.
        Duration peerTimeout = limits.claimTimeout().dividedBy(2);
        PeerClient client = new PeerClient(vertx, peerTimeout);
        ObjectStore objects = new HttpObjectStore(
                vertx, claimSettings.objectStoreHost(), claimSettings.objectStorePort(), OBJECT_STORE_TIMEOUT);
        ClaimCommitter committer = new ClaimCommitter(
                tables, timers, limits.shards(), limits.batchInterval(), limits.expiryHours(), metrics);
        ClaimSender sender = (peer, message) ->
                client.call(peer, ClaimMessages.PATH, message, ClaimMessages.Results.class, peerTimeout);
        ClaimRouter router = new ClaimRouter(committer, sender, members, self, timers, limits.shards());
        peers.addHandler(ClaimMessages.PATH, ClaimMessages.Operations.class, router::accept);
        return new ClaimComponents(
                new ClaimService(router, objects, members, self, timers, limits, metrics),
                router,
                committer,
                new ClaimSweeper(tables, objects, members, self, timers, limits));
    }

    /** Starts the service and the sweeper. */
    public void start() {
        service.start();
        sweeper.start();
    }

    public void stop() {
        sweeper.stop();
        service.stop();
        router.stop();
        committer.stop();
    }
}
