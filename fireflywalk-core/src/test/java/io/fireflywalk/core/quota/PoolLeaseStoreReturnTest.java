package io.fireflywalk.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.quota.PoolLease.Row;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against two granters at a time, an epoch that is begun twice, and a pool without a granter, after the store has
 * returned from an older copy.
 */
class PoolLeaseStoreReturnTest {
    private static final long STEP = 100_000_000L;
    /** A term of 8 s, its margins and the delays of the ranks. */
    private static final int LONGEST_VACANCY_STEPS = 120;

    private final List<PoolLease> leases = new ArrayList<>();
    private Optional<Row> stored = Optional.empty();
    private long version;
    private long now;
    private long highestEpoch;

    private ClockReading clock() {
        return new ClockReading(now, now);
    }

    private void step() {
        now += STEP;
        for (int index = 0; index < leases.size(); index++) {
            PoolLease lease = leases.get(index);
            Optional<PoolLease.Write> write = lease.nextWrite(index, clock());
            if (write.isPresent()) {
                write(lease, write.get());
            }
        }
        leases.forEach(this::read);
        assertTrue(leases.stream().filter(lease -> lease.isHeld(clock())).count() <= 1, "two granters");
    }

    private void write(PoolLease lease, PoolLease.Write write) {
        if (write.version() == (stored.isPresent() ? version : 0)) {
            if (write.row().renewals() == 0) {
                assertTrue(
                        write.row().epoch() > highestEpoch,
                        "epoch " + write.row().epoch() + " begins twice");
                highestEpoch = write.row().epoch();
            }
            stored = Optional.of(write.row());
            version++;
            lease.onWritten(write, version, clock());
        } else {
            lease.onNotWritten();
        }
    }

    private void read(PoolLease lease) {
        stored.ifPresent(row -> lease.onRow(row, version, clock()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void oneGranterFollowsEachReturn(long seed) {
        Random random = new Random(seed);
        for (int index = 0; index < 3; index++) {
            leases.add(new PoolLease("instance-" + index, "process-" + index, clock()));
        }
        for (int round = 0; round < 20; round++) {
            run(random.nextInt(100));
            Optional<Row> copy = stored;
            long copiedVersion = version;
            run(random.nextInt(60));
            if (random.nextBoolean()) {
                // A granter that cannot write is replaced by another one, and returns.
                PoolLease absent = leases.remove(random.nextInt(leases.size()));
                run(LONGEST_VACANCY_STEPS);
                leases.add(absent);
            }
            stored = copy;
            version = copiedVersion;
            leases.forEach(lease -> lease.onEraChanged(clock()));
        }
        run(LONGEST_VACANCY_STEPS);
        assertEquals(1, leases.stream().filter(lease -> lease.isHeld(clock())).count());
    }

    private void run(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
        }
    }
}
