package io.fireflywalk.core.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * What an instance may use of an account's quota: its holdings from the pools and its equal share. A request that the
 * holdings do not cover waits a few milliseconds for a grant. Not thread-safe.
 */
public final class AccountAllowance {
    /** Longest wait of a request for a grant: the answers of both granters, with one loss. */
    public static final Duration MAXIMUM_WAIT = Duration.ofMillis(60);

    /** Retry-After of a request that is refused because too many wait. */
    public static final Duration OVERLOAD_WAIT = Duration.ofMillis(500);

    /** Requests that may wait; more are refused. */
    private static final int MAXIMUM_WAITING = 256;
    /** Time after a request in which the reserve is kept. */
    private static final long ACTIVITY = Duration.ofSeconds(3).toNanos();
    /** Interval at which the reserve is renewed, well before its grants expire. */
    private static final long RENEWAL_INTERVAL = Duration.ofMillis(1300).toNanos();
    /** Interval at which the amount used is reported; until then it counts as outstanding at the granter. */
    private static final long REPORT_INTERVAL = Duration.ofMillis(50).toNanos();
    /** The same for an amount that is small compared with the reserve. */
    private static final long SMALL_REPORT_INTERVAL = Duration.ofMillis(500).toNanos();
    /** Retry-After of a request that is refused because no granter responds. */
    private static final Duration UNKNOWN_WAIT = Duration.ofMillis(500);

    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(100);

    private final String account;
    private final int primaryPool;
    private final RandomGenerator random;
    private final QuotaHolding[] holdings = new QuotaHolding[QuotaLimits.POOLS];
    private final EqualShare share = new EqualShare();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private QuotaLimits limits;
    private long lastRequestAt = Long.MIN_VALUE / 2;
    private long granted;
    private long used;
    private long refused;

    /** A request that waits for a grant. */
    private record Waiting(long request, long amount, long until) {}

    /**
     * What an instance knows of the fleet.
     *
     * @param instances number of instances, not less than any other instance believes
     * @param shareUsable true if all other instances count this one, so that it may use its equal share
     * @param grantersKnown by pool, true if the granter is known
     */
    public record Fleet(int instances, boolean shareUsable, List<Boolean> grantersKnown) {

        public Fleet {
            grantersKnown = List.copyOf(grantersKnown);
        }
    }

    /** A message for the granter of a pool. */
    public record PoolAsk(int pool, long epoch, QuotaAsk ask) {}

    /** A refused request, and the time after which it may be sent again. */
    public record Refusal(long request, Duration retryAfter) {}

    /** Decisions on waiting requests, and messages to send. */
    public record Step(List<Long> admitted, List<Refusal> refused, List<PoolAsk> asks) {

        public Step {
            admitted = List.copyOf(admitted);
            refused = List.copyOf(refused);
            asks = List.copyOf(asks);
        }
    }

    /** Totals of an account at this instance: amounts granted and used, and requests refused. */
    public record Figures(long granted, long used, long refused, long balance) {}

    /**
     * What would be decided on a request.
     *
     * @param time longest wait for a grant, or time after which a refused request may be sent again, without its random part
     * @param position position among the requests that wait for a grant; 0 if it would not wait
     */
    public record Outlook(Decision decision, Duration time, int position) {

        /** Decision on a request. */
        public enum Decision {
            COVERED,
            /** The holdings do not cover the request, and a granter may. */
            GRANT_NEEDED,
            REFUSED
        }
    }

    /** Creates an allowance that holds nothing. */
    public AccountAllowance(String account, int primaryPool, QuotaLimits limits, RandomGenerator random) {
        this.account = account;
        this.primaryPool = Math.floorMod(primaryPool, QuotaLimits.POOLS);
        this.limits = limits;
        this.random = random;
        for (int pool = 0; pool < holdings.length; pool++) {
            holdings[pool] = new QuotaHolding();
        }
    }

    /** Sets the limits of a changed quota. */
    public void configure(QuotaLimits changed) {
        limits = changed;
    }

    /** Uses the amount for a request if the holdings cover it. */
    public boolean take(long amount, ClockReading now) {
        lastRequestAt = now.fast();
        expire(now);
        return useHoldings(amount);
    }

    /** Adds a request that waits for a grant; {@link #step} decides on it. Returns false if too many wait. */
    public boolean await(long request, long amount, ClockReading now) {
        if (waiting.size() >= MAXIMUM_WAITING) {
            refused++;
            return false;
        }
        waiting.add(new Waiting(request, amount, now.fast() + MAXIMUM_WAIT.toNanos()));
        return true;
    }

    /** Tells whether requests wait. */
    public boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Records the answer of a granter. */
    public void onGrant(int pool, long epoch, QuotaGrant grant, ClockReading now) {
        granted += holdings[pool].onGrant(epoch, grant, now);
    }

    /** Decides on the waiting requests as far as possible, and asks for what they need. */
    public Step step(Fleet fleet, ClockReading now) {
        expire(now);
        List<Long> admitted = new ArrayList<>();
        List<Refusal> refusals = new ArrayList<>();
        List<PoolAsk> asks = new ArrayList<>();
        while (!waiting.isEmpty()) {
            Waiting next = waiting.peek();
            if (useHoldings(next.amount())) {
                admitted.add(next.request());
            } else if (now.fast() < next.until() && (hasAsked(next, now) || ask(next, fleet, asks, now))) {
                break;
            } else if (useShare(next.amount(), fleet, now)) {
                admitted.add(next.request());
            } else {
                refused++;
                refusals.add(new Refusal(next.request(), retryAfter(now)));
            }
            waiting.remove();
        }
        return new Step(admitted, refusals, asks);
    }

    private void expire(ClockReading now) {
        for (QuotaHolding holding : holdings) {
            holding.expire(now);
        }
    }

    private long balance() {
        long sum = 0;
        for (QuotaHolding holding : holdings) {
            sum += holding.balance();
        }
        return sum;
    }

    private boolean useHoldings(long amount) {
        if (balance() < amount) {
            return false;
        }
        long rest = amount;
        for (QuotaHolding holding : holdings) {
            rest -= holding.use(rest);
        }
        used += amount;
        return true;
    }

    private boolean useShare(long amount, Fleet fleet, ClockReading now) {
        if (!fleet.shareUsable() || !share.take(amount, limits, fleet.instances(), now)) {
            return false;
        }
        used += amount;
        return true;
    }

    private boolean hasAsked(Waiting next, ClockReading now) {
        long missing = next.amount() - balance();
        boolean asked = false;
        for (QuotaHolding holding : holdings) {
            asked |= holding.isWaitingFor(missing, now);
        }
        return asked;
    }

    /** Asks the first granter that may have the amount; returns false if none may before the request must be decided. */
    private boolean ask(Waiting next, Fleet fleet, List<PoolAsk> asks, ClockReading now) {
        long missing = next.amount() - balance();
        long all = waiting.stream().mapToLong(Waiting::amount).sum() - balance();
        for (int index = 0; index < holdings.length; index++) {
            int pool = (primaryPool + index) % holdings.length;
            QuotaHolding holding = holdings[pool];
            if (fleet.grantersKnown().get(pool) && !holding.isUnableToGrant(missing, now)) {
                long addition = all + (index == 0 ? limits.reserve(fleet.instances()) : 0);
                asks.add(new PoolAsk(pool, holding.epoch(), holding.ask(account, missing, addition, now)));
                return true;
            }
        }
        // A granter that has not answered once is asked again.
        return mayGrantBefore(missing, next.until(), fleet, now);
    }

    private boolean mayGrantBefore(long missing, long until, Fleet fleet, ClockReading now) {
        boolean may = false;
        for (int pool = 0; pool < holdings.length; pool++) {
            may |= fleet.grantersKnown().get(pool) && holdings[pool].mayGrantBefore(missing, until, now);
        }
        return may;
    }

    /** Returns what would be decided on a request for the amount, and changes nothing. */
    public Outlook evaluate(long amount, Fleet fleet, ClockReading now) {
        long missing = amount;
        for (QuotaHolding holding : holdings) {
            missing -= holding.balance(now);
        }
        if (missing <= 0) {
            return new Outlook(Outlook.Decision.COVERED, Duration.ZERO, 0);
        }
        if (waiting.size() >= MAXIMUM_WAITING) {
            return new Outlook(Outlook.Decision.REFUSED, OVERLOAD_WAIT, 0);
        }
        if (!waiting.isEmpty() || mayGrantBefore(missing, now.fast() + MAXIMUM_WAIT.toNanos(), fleet, now)) {
            return new Outlook(Outlook.Decision.GRANT_NEEDED, MAXIMUM_WAIT, waiting.size() + 1);
        }
        return fleet.shareUsable() && share.level(limits, fleet.instances(), now) >= amount
                ? new Outlook(Outlook.Decision.COVERED, Duration.ZERO, 0)
                : new Outlook(Outlook.Decision.REFUSED, minimumRetryAfter(now), 0);
    }

    /** The random part keeps callers that were refused together from returning together. */
    private Duration retryAfter(ClockReading now) {
        return Duration.ofNanos((long) (minimumRetryAfter(now).toNanos() * (1 + random.nextDouble())));
    }

    private Duration minimumRetryAfter(ClockReading now) {
        long wait = Long.MAX_VALUE;
        for (QuotaHolding holding : holdings) {
            long until = holding.availableAt(now) - now.fast();
            wait = until > 0 ? Math.min(wait, until) : wait;
        }
        return Duration.ofNanos(
                wait == Long.MAX_VALUE ? UNKNOWN_WAIT.toNanos() : Math.max(MINIMUM_RETRY_AFTER.toNanos(), wait));
    }

    /** Returns the messages that report what was used, give back what is not needed, and renew the reserve. */
    public List<PoolAsk> maintain(Fleet fleet, ClockReading now) {
        expire(now);
        share.accrue(limits, fleet.instances(), now);
        List<PoolAsk> asks = new ArrayList<>();
        boolean active = now.fast() - lastRequestAt < ACTIVITY;
        for (int pool = 0; pool < holdings.length; pool++) {
            QuotaHolding holding = holdings[pool];
            long reserve = pool == primaryPool && active ? limits.reserve(fleet.instances()) : 0;
            long interval = holding.unreported() > reserve / 2 ? REPORT_INTERVAL : SMALL_REPORT_INTERVAL;
            long reserveInterval = holding.isFruitless() ? SMALL_REPORT_INTERVAL : REPORT_INTERVAL;
            if (!fleet.grantersKnown().get(pool) || holding.timeSinceAsk(now) < REPORT_INTERVAL || hasWaiting()) {
                continue;
            }
            if (holding.balance() > 2 * reserve) {
                holding.giveBack(holding.balance() - reserve);
            }
            boolean due = (holding.unreported() > 0 && holding.timeSinceAsk(now) >= interval)
                    || holding.hasUnreportedReturn()
                    || (holding.balance() < reserve / 2 && holding.timeSinceAsk(now) >= reserveInterval)
                    || (reserve > 0 && holding.timeSinceAsk(now) >= RENEWAL_INTERVAL);
            if (due && !holding.isUnableToGrant(reserve, now)) {
                asks.add(new PoolAsk(pool, holding.epoch(), holding.ask(account, 0, reserve - holding.balance(), now)));
            }
        }
        return asks;
    }

    /** Returns the totals of this instance. */
    public Figures figures() {
        return new Figures(granted, used, refused, balance());
    }
}
