package io.fireflywalk.core.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Grants amounts of quotas from one pool during one epoch of its lease. For each account, the amount that can be granted
 * at once (level) plus the amount granted that may still be used (outstanding) never exceeds the capacity of the pool. So
 * in any window the instances use at most the capacity and what accrues in the window. What an instance does not report
 * as used counts as outstanding until it has expired. Not thread-safe.
 */
public final class QuotaPool {
    /** Time after which a grant must not be used, counted from the message that it answers. */
    public static final Duration LIFETIME = Duration.ofSeconds(3);

    /** Added to the lifetime of grants of other processes, for the drift of clocks. */
    private static final long LIFETIME_WITH_DRIFT =
            LIFETIME.plus(Duration.ofMillis(100)).toNanos();
    /** Bounds the holdings of an account; an instance has at most a few that have not expired. */
    private static final int MAXIMUM_HOLDINGS = 8192;

    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double MILLISECONDS_PER_SECOND = 1e3;
    private static final long NOTHING_TO_GRANT_WAIT_MILLISECONDS = 1000;
    /** Refused demand beyond this time of accrual is not counted when the time to wait is computed. */
    private static final double MAXIMUM_BACKLOG_SECONDS = 4;

    private final int pool;
    private final QuotaTerms terms;
    private boolean full;
    private final Map<String, Account> accounts = new HashMap<>();

    /** Amounts of an account. */
    private static final class Account {
        private final Map<HolderKey, Holder> holders = new HashMap<>();
        /** Time until which grants may be used that this object does not know of. */
        private final long unknownGrantsExpireAt;

        private QuotaLimits limits;
        private double level;
        private long outstanding;
        private double refusedBacklog;
        private long accruedAt;
        private long granted;
        private long used;
        private long refused;

        private Account(QuotaLimits limits, double level, long unknownGrantsExpireAt, long now) {
            this.limits = limits;
            this.level = level;
            this.unknownGrantsExpireAt = unknownGrantsExpireAt;
            this.accruedAt = now;
        }
    }

    /** A generation of the holding of a process. */
    private record HolderKey(String process, long generation) {}

    /** What a process holds. */
    private static final class Holder {
        private long granted;
        private long used;
        private long returned;
        private long expiresAt;

        private long outstanding() {
            return granted - used - returned;
        }
    }

    /** Amounts of an account, for operators: totals since the epoch began, and the present level and outstanding amount. */
    public record Figures(long granted, long used, long refused, long level, long outstanding) {}

    /**
     * Begins an epoch.
     *
     * @param pool number of the pool
     * @param first true if the pool never had a granter; otherwise grants of the granter before this one may still be
     *     used until their lifetime has passed, and what it granted in the current window is not known
     */
    public QuotaPool(int pool, QuotaTerms terms, boolean first) {
        this.pool = pool;
        this.terms = terms;
        this.full = first;
    }

    /** Sets the quotas of all accounts; the first call must follow the acquisition of the lease. */
    public void configure(Map<String, AccountQuota> quotas, ClockReading now) {
        accounts.keySet().retainAll(quotas.keySet());
        quotas.forEach((name, quota) -> {
            QuotaLimits limits = terms.limits(quota);
            Account account = accounts.get(name);
            if (account == null) {
                accounts.put(
                        name,
                        full
                                ? new Account(limits, limits.poolBurst(pool), now.slow(), now.slow())
                                : new Account(limits, 0, now.slow() + LIFETIME_WITH_DRIFT, now.slow()));
            } else {
                update(account, now);
                account.limits = limits;
                limitLevel(account, now);
            }
        });
        full = false;
    }

    /** Answers a message of a process, which is named by its instance and its start. */
    public QuotaGrant answer(String process, QuotaAsk ask, ClockReading now) {
        Account account = accounts.get(ask.account());
        if (account == null) {
            return new QuotaGrant(ask.account(), ask.generation(), 0, ask.sentAt(), NOTHING_TO_GRANT_WAIT_MILLISECONDS);
        }
        update(account, now);
        HolderKey key = new HolderKey(process, ask.generation());
        Holder holder = account.holders.get(key);
        if (holder == null) {
            if (account.holders.size() >= MAXIMUM_HOLDINGS) {
                return new QuotaGrant(
                        ask.account(), ask.generation(), 0, ask.sentAt(), NOTHING_TO_GRANT_WAIT_MILLISECONDS);
            }
            holder = new Holder();
            account.holders.put(key, holder);
        }
        recordReport(account, holder, ask);
        limitLevel(account, now);
        long wait = grant(account, holder, ask);
        holder.expiresAt = now.slow() + LIFETIME_WITH_DRIFT;
        return new QuotaGrant(ask.account(), ask.generation(), holder.granted, ask.sentAt(), wait);
    }

    private static void recordReport(Account account, Holder holder, QuotaAsk ask) {
        long used = Math.max(0, Math.min(ask.used() - holder.used, holder.outstanding()));
        holder.used += used;
        account.used += used;
        long returned = Math.max(0, Math.min(ask.returned() - holder.returned, holder.outstanding()));
        holder.returned += returned;
        account.outstanding -= used + returned;
        account.level += returned;
    }

    /** Grants what can be granted and returns the time to wait in milliseconds. */
    private long grant(Account account, Holder holder, QuotaAsk ask) {
        long wanted = ask.target() - holder.granted;
        long needed = ask.minimum() - holder.granted;
        if (wanted <= 0) {
            return 0;
        }
        long room =
                (long) Math.floor(Math.min(account.level, account.limits.poolOutstanding(pool) - account.outstanding));
        // A reserve must not take what a request needs that arrives next.
        long given = needed > 0 ? (room >= needed ? Math.min(room, wanted) : 0) : (room / 2 >= wanted ? wanted : 0);
        holder.granted += given;
        account.granted += given;
        account.outstanding += given;
        account.level -= given;
        if (needed <= 0 || given > 0) {
            return 0;
        }
        double rate = account.limits.poolRate(pool);
        if (rate <= 0) {
            return NOTHING_TO_GRANT_WAIT_MILLISECONDS;
        }
        double missing = Math.max(0, needed - room) + account.refusedBacklog;
        account.refused += needed;
        account.refusedBacklog = Math.min(account.refusedBacklog + needed, MAXIMUM_BACKLOG_SECONDS * rate);
        return 1 + (long) (MILLISECONDS_PER_SECOND * missing / rate);
    }

    private void update(Account account, ClockReading now) {
        double accrued =
                account.limits.poolRate(pool) * Math.max(0, now.slow() - account.accruedAt) / NANOSECONDS_PER_SECOND;
        account.level += accrued;
        account.refusedBacklog = Math.max(0, account.refusedBacklog - accrued);
        account.accruedAt = Math.max(account.accruedAt, now.slow());
        account.holders.values().removeIf(holder -> {
            boolean expired = now.slow() > holder.expiresAt;
            if (expired) {
                // Counts as used: the process may have used it without reporting it.
                account.outstanding -= holder.outstanding();
                account.used += holder.outstanding();
            }
            return expired;
        });
        limitLevel(account, now);
    }

    private void limitLevel(Account account, ClockReading now) {
        double capacity = account.limits.poolCapacity(pool);
        if (now.slow() < account.unknownGrantsExpireAt) {
            capacity -= account.limits.poolOutstanding(pool);
        }
        account.level = Math.max(0, Math.min(account.level, capacity - account.outstanding));
    }

    /** Returns the amounts of an account. */
    public Optional<Figures> figures(String account) {
        return Optional.ofNullable(accounts.get(account))
                .map(state ->
                        new Figures(state.granted, state.used, state.refused, (long) state.level, state.outstanding));
    }
}
