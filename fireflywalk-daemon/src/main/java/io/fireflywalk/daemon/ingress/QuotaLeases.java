package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.core.quota.ClockReading;
import io.fireflywalk.core.quota.PoolLease;
import io.fireflywalk.core.quota.QuotaLimits;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.daemon.ingress.FleetStore.RowTransaction;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.jboss.logging.Logger;

/** Acquires, renews and releases the leases on granting from the pools of quotas. Confined to one event loop. */
final class QuotaLeases {
    private static final Logger LOG = Logger.getLogger(QuotaLeases.class);
    static final String ROW_PREFIX = "quota/";

    /** Ranks by which an instance with another pool comes later: the loss of one instance should not affect all pools. */
    private static final int OTHER_HOLDER_RANKS = 5;

    private final String instance;
    private final FleetCoordinator coordinator;
    private final FleetStore store;
    private final Supplier<ClockReading> clock;
    private final List<PoolLease> leases = new ArrayList<>();

    QuotaLeases(
            String instance,
            String process,
            FleetCoordinator coordinator,
            FleetStore store,
            Supplier<ClockReading> clock) {
        this.instance = instance;
        this.coordinator = coordinator;
        this.store = store;
        this.clock = clock;
        for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
            leases.add(new PoolLease(instance, process, clock.get()));
        }
        coordinator.onRows(ROW_PREFIX, this::onRow);
        coordinator.onEraChanged(() -> leases.forEach(lease -> lease.onEraChanged(clock.get())));
    }

    /** Returns the state of a pool's lease. */
    PoolLease lease(int pool) {
        return leases.get(pool);
    }

    /** Attempts the writes that are due. */
    void maintain() {
        if (!coordinator.watcher().loaded() || !coordinator.watcher().isInCurrentEra()) {
            return;
        }
        for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
            int number = pool;
            leases.get(pool).nextWrite(rank(pool), clock.get()).ifPresent(write -> commit(number, write));
        }
    }

    private int rank(int pool) {
        List<String> ranked =
                RendezvousHashing.rankIncarnations(coordinator.instanceNames(), ROW_PREFIX + pool, Integer.MAX_VALUE);
        int rank = Math.max(0, ranked.indexOf(instance));
        boolean holdsAnother = IntStream.range(0, leases.size())
                .anyMatch(other -> other != pool && leases.get(other).isTaken());
        return holdsAnother ? rank + OTHER_HOLDER_RANKS : rank;
    }

    /** Stops granting, and lets other instances take over at once where that is safe. */
    void resign() {
        for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
            int number = pool;
            leases.get(pool).resign();
            if (coordinator.watcher().isInCurrentEra()) {
                leases.get(pool).release(clock.get()).ifPresent(write -> commit(number, write));
            }
        }
    }

    private void onRow(FleetRow row) {
        for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
            if (row.key().equals(ROW_PREFIX + pool)) {
                observe(pool, row);
            }
        }
    }

    private void observe(int pool, FleetRow row) {
        try {
            PoolLease.Row before = leases.get(pool).observed();
            if (row.value().isEmpty()) {
                leases.get(pool).onRemoved(row.version(), clock.get());
            } else {
                leases.get(pool).onRow(QuotaMessages.decodeRow(row.value().get()), row.version(), clock.get());
            }
            PoolLease.Row after = leases.get(pool).observed();
            if (!before.isSameEpoch(after)) {
                LOG.infof(
                        "event=quota_granter_changed pool=%d holder=%s epoch=%d", pool, after.holder(), after.epoch());
            }
        } catch (FireflywalkException exception) {
            LOG.warnf("event=row_unreadable key=%s cause=\"%s\"", row.key(), exception.getMessage());
        }
    }

    private void commit(int pool, PoolLease.Write write) {
        String key = ROW_PREFIX + pool;
        boolean takeover = !write.row().isSameEpoch(leases.get(pool).observed());
        var unused = store.commit(RowTransaction.empty()
                        .withPrecondition(Table.COORDINATION, key, write.version())
                        .withWrite(Table.COORDINATION, key, QuotaMessages.encode(write.row())))
                .subscribe(
                        result -> {
                            if (result.committed()) {
                                leases.get(pool).onWritten(write, result.version(), clock.get());
                                if (takeover) {
                                    LOG.infof(
                                            "event=quota_granter_changed pool=%d holder=%s epoch=%d",
                                            pool,
                                            write.row().holder(),
                                            write.row().epoch());
                                }
                            } else {
                                read(pool);
                            }
                        },
                        cause -> {
                            LOG.debugf("event=quota_lease_not_written pool=%d cause=\"%s\"", pool, cause.getMessage());
                            read(pool);
                        });
    }

    /** Reads the row after a write that failed or whose outcome is unknown. */
    private void read(int pool) {
        String key = ROW_PREFIX + pool;
        var unused = store.read(Table.COORDINATION, key, key + '\0', 1)
                .subscribe(
                        page -> {
                            leases.get(pool).onNotWritten();
                            if (coordinator.watcher().isInCurrentEra()) {
                                page.rows().forEach(this::onRow);
                            }
                        },
                        cause -> {
                            leases.get(pool).onNotWritten();
                            LOG.debugf("event=quota_lease_not_read pool=%d cause=\"%s\"", pool, cause.getMessage());
                        });
    }

    /** Returns the peer that grants from a pool, or empty if it is not known or is this instance. */
    Optional<FleetCoordinator.Peer> granter(int pool) {
        String holder = leases.get(pool).observed().holder();
        return coordinator.peers().stream()
                .filter(peer -> peer.name().equals(holder))
                .findFirst();
    }
}
