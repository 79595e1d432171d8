package io.fireflywalk.core.quota;

import io.fireflywalk.core.quota.AccountAllowance.Fleet;
import io.fireflywalk.core.quota.AccountAllowance.PoolAsk;
import io.fireflywalk.core.quota.AccountAllowance.Step;
import io.fireflywalk.core.quota.AccountQuota.Unit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulated instances with one account, a store with outages and lost answers, and a network that delays and loses
 * messages. Instances freeze, are cut off, restart, join and leave. Records each use with its time.
 */
final class QuotaFleet {
    static final long MILLISECOND = 1_000_000L;
    static final long SECOND = 1000 * MILLISECOND;
    static final String ACCOUNT = "account";
    private static final long TICK = 10 * MILLISECOND;
    private static final long SHARE_DELAY = 20 * SECOND;

    final Random random;
    final QuotaTerms terms;
    final List<Use> uses = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
    private final PoolLease.Row[] rows = new PoolLease.Row[QuotaLimits.POOLS];
    private final long[] versions = new long[QuotaLimits.POOLS];
    AccountQuota quota;
    long now = SECOND;
    boolean storeDown;
    double lossRate;
    /** Fraction of messages that arrive seconds late. */
    double lateRate = 0.02;

    int largestFleet;
    long refusals;
    private long order;
    private long processes;

    /** An amount used at a time. */
    record Use(long time, long amount) {}

    private record Event(long time, long order, Runnable action) {}

    QuotaFleet(long seed, AccountQuota quota, QuotaTerms terms, int size) {
        this.random = new Random(seed);
        this.quota = quota;
        this.terms = terms;
        for (int index = 0; index < size; index++) {
            join();
        }
    }

    Instance join() {
        Instance instance = new Instance("instance-" + instances.size());
        instances.add(instance);
        largestFleet = Math.max(largestFleet, instances.size());
        return instance;
    }

    private void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, order++, action));
    }

    /** Delivers a message to an instance unless it is lost; one that is frozen reads it when it wakes. */
    private void deliver(Instance from, Instance to, Runnable action) {
        if (from == to) {
            to.receive(action);
            return;
        }
        if (from.cutOff || to.cutOff || random.nextDouble() < lossRate) {
            return;
        }
        long delay = random.nextDouble() < lateRate ? random.nextLong(6 * SECOND) : random.nextLong(4 * MILLISECOND);
        schedule(delay, () -> to.receive(action));
    }

    void advance(long duration) {
        long end = now + duration;
        while (now < end) {
            long tickAt = now + TICK;
            while (!events.isEmpty() && events.peek().time() <= tickAt) {
                Event event = events.poll();
                now = Math.max(now, event.time());
                event.action().run();
            }
            now = tickAt;
            List.copyOf(instances).forEach(Instance::tick);
        }
    }

    /** Returns the largest amount used in a window by more than what the rule allows; 0 if it holds. */
    double excessInAnyWindow(AccountQuota limit, long from) {
        double allowed = (limit.amountPerSecond() * terms.windowSeconds() + limit.burst()) * (1 + terms.overshoot())
                + terms.slackTokens();
        long window = (long) (terms.windowSeconds() * SECOND);
        double largest = 0;
        long sum = 0;
        int first = 0;
        List<Use> counted = uses.stream().filter(use -> use.time() >= from).toList();
        for (Use use : counted) {
            sum += use.amount();
            while (counted.get(first).time() <= use.time() - window) {
                sum -= counted.get(first++).amount();
            }
            largest = Math.max(largest, sum - allowed);
        }
        return largest;
    }

    long used() {
        return uses.stream().mapToLong(Use::amount).sum();
    }

    /** One instance with its process. */
    final class Instance {
        final String name;
        private final List<Runnable> unread = new ArrayList<>();
        boolean frozen;
        boolean suspended;
        /** Reaches neither the store nor other instances. */
        boolean cutOff;
        /** Does not reach the store. */
        boolean storeCut;

        boolean gone;
        private String process = "";
        private long startedAt;
        private long clockLag;
        private PoolLease[] leases = new PoolLease[QuotaLimits.POOLS];
        private QuotaPool[] pools = new QuotaPool[QuotaLimits.POOLS];
        private long[] epochs = new long[QuotaLimits.POOLS];
        private AccountAllowance allowance;
        private SuspensionAwareClock clock;
        private long requests;
        private long lastPollAt;
        private Map<Long, Long> amounts;

        Instance(String name) {
            this.name = name;
            restart();
        }

        /** Begins a new process, which has forgotten everything. */
        void restart() {
            process = "process-" + processes++;
            startedAt = now;
            clock = new SuspensionAwareClock();
            frozen = false;
            gone = false;
            unread.clear();
            leases = new PoolLease[QuotaLimits.POOLS];
            pools = new QuotaPool[QuotaLimits.POOLS];
            epochs = new long[QuotaLimits.POOLS];
            amounts = new java.util.HashMap<>();
            for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
                leases[pool] = new PoolLease(name, process, reading());
            }
            allowance = new AccountAllowance(ACCOUNT, name.hashCode(), terms.limits(quota), new Random(1));
        }

        /** Freezes the process; its monotonic clock stands still if the machine is suspended. */
        void freeze(boolean machine) {
            frozen = true;
            suspended = machine;
        }

        void wake() {
            frozen = false;
            suspended = false;
            List<Runnable> messages = List.copyOf(unread);
            unread.clear();
            // Requests that waited in the socket may be read before the messages.
            for (int request = 0; request < 10; request++) {
                request(1500);
            }
            messages.forEach(Runnable::run);
        }

        /** Tells whether the process believes that it may grant. */
        boolean grants() {
            return !gone && !frozen && java.util.Arrays.stream(leases).anyMatch(lease -> lease.isHeld(reading()));
        }

        void recover() {
            cutOff = false;
            storeCut = false;
            if (gone) {
                restart();
            }
            if (frozen) {
                wake();
            }
        }

        /** Ends the process after it has released its leases. */
        void leave() {
            for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
                leases[pool].resign();
                int row = pool;
                leases[pool].release(reading()).ifPresent(write -> commit(row, write));
            }
            gone = true;
        }

        private ClockReading reading() {
            return clock.read(now - clockLag, now / MILLISECOND);
        }

        private void receive(Runnable action) {
            String addressed = process;
            if (gone) {
                return;
            }
            if (frozen) {
                unread.add(() -> {
                    if (process.equals(addressed)) {
                        action.run();
                    }
                });
            } else {
                action.run();
            }
        }

        private Fleet fleet() {
            return new Fleet(
                    largestFleet,
                    now - startedAt > SHARE_DELAY,
                    java.util.stream.IntStream.range(0, QuotaLimits.POOLS)
                            .mapToObj(pool -> granter(pool).isPresent())
                            .toList());
        }

        private Optional<Instance> granter(int pool) {
            String holder = leases[pool].observed().holder();
            return instances.stream()
                    .filter(instance -> instance.name.equals(holder))
                    .findFirst();
        }

        void request(long amount) {
            if (gone || frozen) {
                return;
            }
            ClockReading time = reading();
            if (allowance.take(amount, time)) {
                uses.add(new Use(now, amount));
            } else {
                amounts.put(requests, amount);
                if (allowance.await(requests++, amount, time)) {
                    step();
                } else {
                    refusals++;
                }
            }
        }

        private void step() {
            Step step = allowance.step(fleet(), reading());
            step.admitted().forEach(request -> uses.add(new Use(now, amounts.remove(request))));
            step.refused().forEach(refusal -> amounts.remove(refusal.request()));
            refusals += step.refused().size();
            step.asks().forEach(this::send);
        }

        private void send(PoolAsk ask) {
            String asking = process;
            granter(ask.pool()).ifPresent(granter -> deliver(this, granter, () -> granter.answer(this, asking, ask)));
        }

        private void answer(Instance to, String asking, PoolAsk ask) {
            int pool = ask.pool();
            if (pools[pool] == null || !leases[pool].isHeld(reading())) {
                return;
            }
            long epoch = epochs[pool];
            QuotaGrant grant = ask.epoch() == epoch
                    ? pools[pool].answer(to.name + '/' + asking, ask.ask(), reading())
                    : new QuotaGrant(
                            ACCOUNT, ask.ask().generation(), 0, ask.ask().sentAt(), 0);
            if (ask.epoch() <= epoch) {
                deliver(this, to, () -> {
                    if (to.process.equals(asking)) {
                        to.allowance.onGrant(pool, epoch, grant, to.reading());
                        to.step();
                    }
                });
            }
        }

        private void tick() {
            if (gone || frozen) {
                clockLag += suspended ? TICK : 0;
                return;
            }
            step();
            allowance.maintain(fleet(), reading()).forEach(this::send);
            if (now - lastPollAt > 1500 * MILLISECOND && !storeDown && !cutOff && !storeCut) {
                lastPollAt = now;
                for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
                    observe(pool);
                }
            }
            for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
                int row = pool;
                leases[pool].nextWrite(rank(pool), reading()).ifPresent(write -> commit(row, write));
                if (leases[pool].isHeld(reading())
                        && epochs[pool] != leases[pool].observed().epoch()) {
                    epochs[pool] = leases[pool].observed().epoch();
                    pools[pool] = new QuotaPool(pool, terms, leases[pool].isFirstEpoch());
                }
                if (pools[pool] != null) {
                    pools[pool].configure(Map.of(ACCOUNT, quota), reading());
                }
            }
            if (terms.limits(quota).rate() > 0) {
                allowance.configure(terms.limits(quota));
            }
        }

        private int rank(int pool) {
            return Math.floorMod(name.hashCode() + pool, 5);
        }

        private void observe(int pool) {
            if (rows[pool] != null) {
                leases[pool].onRow(rows[pool], versions[pool], reading());
            }
        }

        private void commit(int pool, PoolLease.Write write) {
            if (storeDown || cutOff || storeCut) {
                leases[pool].onNotWritten();
            } else if (versions[pool] != write.version()) {
                leases[pool].onNotWritten();
                observe(pool);
            } else {
                rows[pool] = write.row();
                versions[pool]++;
                if (random.nextInt(10) == 0) {
                    leases[pool].onNotWritten();
                } else {
                    leases[pool].onWritten(write, versions[pool], reading());
                }
            }
        }
    }

    static AccountQuota tokens(double rate) {
        return new AccountQuota(Unit.TOKENS, rate, rate, 200);
    }
}
