package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.services.time.TimerService;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Heartbeat service and gossip of one instance. Confined to one event loop. */
public final class PeerComponents {
    private final HeartbeatService heartbeats;
    private final GossipExchange gossip;

    public PeerComponents(
            Member self,
            Supplier<ConfigurationSnapshot> snapshots,
            PeerTransport transport,
            TimerService timers,
            Random random,
            MajorityListener majorityListener,
            Consumer<String> newerVersionListener) {
        this.heartbeats = new HeartbeatService(
                self, snapshots, transport, timers, random, majorityListener, newerVersionListener);
        this.gossip =
                new GossipExchange(self, heartbeats, () -> snapshots.get().memberSet(), transport, timers, random);
    }

    /** Registers the handlers of peer calls. */
    public void register(PeerHandlerRegistry registry) {
        heartbeats.register(registry);
        gossip.register(registry);
    }

    public void start() {
        heartbeats.start();
        gossip.start();
    }

    public void stop() {
        heartbeats.stop();
        gossip.stop();
    }

    public HeartbeatService heartbeats() {
        return heartbeats;
    }

    public GossipExchange gossip() {
        return gossip;
    }
}
