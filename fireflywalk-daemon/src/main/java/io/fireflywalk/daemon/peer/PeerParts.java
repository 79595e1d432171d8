package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.services.time.TimerService;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Heartbeats and digests of one instance. Confined to one event loop. */
public final class PeerParts {
    private final HeartbeatService heartbeats;
    private final DigestExchange digests;

    public PeerParts(
            Member self,
            Supplier<ConfigurationSnapshot> snapshots,
            PeerTransport transport,
            TimerService timers,
            Random random,
            MajorityListener majorityListener,
            Consumer<String> behindListener) {
        this.heartbeats =
                new HeartbeatService(self, snapshots, transport, timers, random, majorityListener, behindListener);
        this.digests =
                new DigestExchange(self, heartbeats, () -> snapshots.get().memberSet(), transport, timers, random);
    }

    /** Adds the calls that peers may make. */
    public void register(PeerCalls calls) {
        heartbeats.register(calls);
        digests.register(calls);
    }

    /** Starts the exchange. */
    public void start() {
        heartbeats.start();
        digests.start();
    }

    /** Stops the exchange. */
    public void stop() {
        heartbeats.stop();
        digests.stop();
    }

    /** Returns the heartbeats. */
    public HeartbeatService heartbeats() {
        return heartbeats;
    }

    /** Returns the digests. */
    public DigestExchange digests() {
        return digests;
    }
}
