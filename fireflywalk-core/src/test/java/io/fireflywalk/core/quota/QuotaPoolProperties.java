package io.fireflywalk.core.quota;

import static io.fireflywalk.core.quota.QuotaFleet.MILLISECOND;
import static io.fireflywalk.core.quota.QuotaFleet.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.quota.AccountQuota.Unit;
import io.fireflywalk.core.quota.PoolLease.Row;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against a pool of which more is used in a window than its capacity and what accrues, by instances that hoard as
 * much as they get and use it as late as they may, under granters that follow each other as fast as leases allow.
 */
class QuotaPoolProperties {
    private static final QuotaTerms TERMS = new QuotaTerms(8, 0.1, 0);
    private static final AccountQuota QUOTA = new AccountQuota(Unit.TOKENS, 200_000, 100_000, 200);
    private static final QuotaLimits LIMITS = TERMS.limits(QUOTA);
    private static final int POOL = 0;
    private static final long LIFETIME = QuotaPool.LIFETIME.toNanos();

    private record Use(long time, long amount) {}

    /** A process and what it holds. */
    private record Holder(String name, QuotaHolding holding) {}

    private static ClockReading at(long time) {
        return new ClockReading(time, time);
    }

    private static QuotaPool epoch(boolean first, long now) {
        QuotaPool pool = new QuotaPool(POOL, TERMS, first);
        pool.configure(Map.of(QuotaFleet.ACCOUNT, QUOTA), at(now));
        return pool;
    }

    /** Processes that hoard, some of them out of contact, and then use all they can under the granter of that time. */
    private static final class Hoarders {
        private final Random random;
        private final List<Holder> holders = new ArrayList<>();
        private final Set<Holder> cutOff = new HashSet<>();
        private final List<Use> uses = new ArrayList<>();
        private long now = SECOND;
        private long epoch = 1;
        private long epochAt = now;
        private QuotaPool pool = epoch(true, now);

        private Hoarders(Random random) {
            this.random = random;
            for (int index = 0; index < 4; index++) {
                holders.add(new Holder("process-" + index, new QuotaHolding()));
            }
        }

        private void cutOffSome() {
            holders.stream().filter(holder -> random.nextBoolean()).forEach(cutOff::add);
        }

        /** Changes the granter as soon after the latest change as leases allow. */
        private void changeGranter() {
            run(Math.max(0, epochAt + LIFETIME + 100 * MILLISECOND - now), false);
            epoch++;
            epochAt = now;
            pool = epoch(false, now);
        }

        private void run(long duration, boolean spending) {
            for (long end = now + duration; now < end; now += 50 * MILLISECOND) {
                ClockReading time = at(now);
                for (Holder holder : holders) {
                    holder.holding().expire(time);
                    if (!cutOff.contains(holder)) {
                        exchange(holder, spending, time);
                    }
                    if (spending) {
                        uses.add(new Use(now, holder.holding().use(Long.MAX_VALUE)));
                    }
                }
                if (spending) {
                    cutOff.clear();
                }
            }
        }

        private void exchange(Holder holder, boolean spending, ClockReading time) {
            QuotaHolding holding = holder.holding();
            if (!spending && random.nextInt(10) == 0) {
                holding.giveBack(random.nextInt(20_000));
            }
            QuotaAsk ask = holding.ask(QuotaFleet.ACCOUNT, 1, 1 + random.nextLong(60_000), time);
            QuotaGrant grant = holding.epoch() == epoch
                    ? pool.answer(holder.name(), ask, time)
                    : new QuotaGrant(QuotaFleet.ACCOUNT, ask.generation(), 0, ask.sentAt(), 0);
            if (random.nextInt(20) > 0) {
                holding.onGrant(epoch, grant, time);
            }
        }
    }

    @Property(tries = 300, seed = "3")
    void hoardingInstancesStayWithinTheCapacityInAnyWindow(@ForAll long seed) {
        Random random = new Random(seed);
        Hoarders hoarders = new Hoarders(random);
        for (int cycle = 0; cycle < 4; cycle++) {
            hoarders.run(random.nextLong(9 * SECOND), false);
            hoarders.cutOffSome();
            for (int change = random.nextInt(3); change > 0; change--) {
                hoarders.changeGranter();
                hoarders.cutOffSome();
            }
            hoarders.run(random.nextLong(12 * SECOND) / (1 + 3L * random.nextInt(2)), false);
            hoarders.run(9 * SECOND, true);
        }
        assertWithinCapacity(hoarders.uses);
    }

    private static void assertWithinCapacity(List<Use> uses) {
        double allowed = LIMITS.poolCapacity(POOL) + LIMITS.poolRate(POOL) * TERMS.windowSeconds();
        Deque<Use> window = new ArrayDeque<>();
        long sum = 0;
        for (Use use : uses) {
            window.add(use);
            sum += use.amount();
            while (window.peek().time() <= use.time() - (long) (TERMS.windowSeconds() * SECOND)) {
                sum -= window.remove().amount();
            }
            assertTrue(sum <= allowed, sum + " used in a window that allows " + allowed);
        }
    }

    @Example
    void partsOfTheQuotaTogetherDoNotExceedTheRule() {
        for (double rate : new double[] {0.5, 100, 5_000, 403_953}) {
            for (Unit unit : Unit.values()) {
                QuotaTerms terms = new QuotaTerms(8, 0.1, 190_000);
                QuotaLimits limits = terms.limits(new AccountQuota(unit, rate, rate, 200));
                double sum = 70 * (limits.shareCapacity(70) + limits.shareRate(70) * 8);
                for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
                    sum += limits.poolCapacity(pool) + limits.poolRate(pool) * 8;
                }
                assertTrue(sum <= (rate * 8 + rate) * 1.1 + (unit == Unit.TOKENS ? 190_000 : 0));
            }
        }
    }

    @Example
    void grantIsNotUsedAfterASuspensionOfTheMachine() {
        SuspensionAwareClock clock = new SuspensionAwareClock();
        ClockReading before = clock.read(SECOND, 1_000_000);
        QuotaHolding holding = new QuotaHolding();
        QuotaAsk ask = holding.ask(QuotaFleet.ACCOUNT, 10, 10, before);
        holding.onGrant(0, new QuotaGrant(QuotaFleet.ACCOUNT, ask.generation(), 10, ask.sentAt(), 0), before);
        assertEquals(10, holding.balance());
        // The monotonic clock has stood still for four seconds.
        holding.expire(clock.read(SECOND + MILLISECOND, 1_004_000));
        assertEquals(0, holding.balance());
    }

    @Example
    void newProcessHasNoEqualShare() {
        EqualShare share = new EqualShare();
        assertFalse(share.take(1, LIMITS, 1, at(SECOND)));
        assertTrue(share.take(1, LIMITS, 1, at(9 * SECOND)));
    }

    @Example
    void grantThatArrivesAfterItsLifetimeIsNotUsed() {
        QuotaHolding holding = new QuotaHolding();
        QuotaAsk ask = holding.ask(QuotaFleet.ACCOUNT, 10, 10, at(SECOND));
        QuotaGrant grant = new QuotaGrant(QuotaFleet.ACCOUNT, ask.generation(), 10, ask.sentAt(), 0);
        holding.onGrant(0, grant, at(SECOND + LIFETIME));
        assertEquals(0, holding.balance());
    }

    @Example
    void holderStopsBeforeAnotherInstanceMayTakeOver() {
        PoolLease holder = new PoolLease("instance-1", "process-1", at(0));
        PoolLease other = new PoolLease("instance-2", "process-2", at(0));
        PoolLease.Write write = holder.nextWrite(0, at(SECOND)).orElseThrow();
        holder.onWritten(write, 1, at(SECOND));
        other.onRow(write.row(), 1, at(SECOND));
        long term = PoolLease.TERM.toNanos();
        assertTrue(holder.isHeld(at(SECOND + term / 2)));
        assertFalse(holder.isHeld(at(SECOND + term)));
        assertTrue(other.nextWrite(0, at(SECOND + term)).isEmpty());
        assertTrue(other.nextWrite(0, at(SECOND + 2 * term)).isPresent());
        // A suspension of the holder's machine shows on the fast clock only.
        assertFalse(holder.isHeld(new ClockReading(2 * SECOND, SECOND + term)));
    }

    @Example
    void epochsBeginAtLeastALifetimeApart() {
        PoolLease restarted = new PoolLease("instance-1", "process-2", at(0));
        restarted.onRow(new Row("instance-1", "process-1", 1, 1), 1, at(0));
        assertTrue(restarted.nextWrite(0, at(LIFETIME - 1)).isEmpty());
        PoolLease ofOldEpoch = new PoolLease("instance-1", "process-2", at(0));
        ofOldEpoch.onRow(new Row("instance-1", "process-1", 1, 2), 1, at(0));
        assertTrue(ofOldEpoch.nextWrite(0, at(1)).isPresent());
        PoolLease.Write write = restarted.nextWrite(0, at(LIFETIME + SECOND)).orElseThrow();
        assertEquals(2, write.row().epoch());
        restarted.onWritten(write, 2, at(LIFETIME + SECOND));
        restarted.resign();
        assertTrue(restarted.release(at(2 * LIFETIME + SECOND)).isEmpty());
        assertTrue(restarted.release(at(2 * LIFETIME + 2 * SECOND)).isPresent());
    }

    @Example
    void suspendedClockDoesNotGoBackWithTheWallClock() {
        SuspensionAwareClock clock = new SuspensionAwareClock();
        long fast = clock.read(0, 10_000).fast();
        for (long wall : new long[] {5_000, 5_001, 9_000, 8_000}) {
            ClockReading reading = clock.read(fast + MILLISECOND, wall);
            assertTrue(reading.fast() >= fast);
            fast = reading.fast();
        }
    }
}
