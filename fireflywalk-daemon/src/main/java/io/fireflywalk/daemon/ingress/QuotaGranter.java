package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.quota.AccountQuota;
import io.fireflywalk.core.quota.ClockReading;
import io.fireflywalk.core.quota.QuotaAsk;
import io.fireflywalk.core.quota.QuotaGrant;
import io.fireflywalk.core.quota.QuotaLimits;
import io.fireflywalk.core.quota.QuotaPool;
import io.fireflywalk.core.quota.QuotaTerms;
import io.fireflywalk.daemon.ingress.QuotaMessages.Head;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;

/** Grants from the pools whose lease this instance holds. Confined to one event loop. */
final class QuotaGranter {
    private static final Logger LOG = Logger.getLogger(QuotaGranter.class);

    private final Optional<QuotaTerms> terms;
    private final QuotaLeases leases;
    private final List<Optional<QuotaPool>> pools =
            new ArrayList<>(Collections.nCopies(QuotaLimits.POOLS, Optional.empty()));
    private final long[] epochs = new long[QuotaLimits.POOLS];
    private final Map<String, QuotaPool.Figures> logged = new HashMap<>();

    /** Answers to messages, and the epoch of the lease under which they were given. */
    record Answer(long epoch, List<QuotaGrant> grants) {

        Answer {
            grants = List.copyOf(grants);
        }
    }

    QuotaGranter(Optional<QuotaTerms> terms, QuotaLeases leases) {
        this.terms = terms;
        this.leases = leases;
        Arrays.fill(epochs, -1);
    }

    /** Sets the quotas of the pools that this instance grants from. */
    void configure(Map<String, AccountQuota> quotas, ClockReading now) {
        pools.forEach(pool -> pool.ifPresent(granted -> granted.configure(quotas, now)));
    }

    /** Begins to grant from pools whose lease has been acquired. */
    void update(Map<String, AccountQuota> quotas, ClockReading now) {
        for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
            long epoch = leases.lease(pool).observed().epoch();
            if (leases.lease(pool).isHeld(now) && epochs[pool] != epoch) {
                epochs[pool] = epoch;
                QuotaPool granted = new QuotaPool(
                        pool, terms.orElseThrow(), leases.lease(pool).isFirstEpoch());
                granted.configure(quotas, now);
                pools.set(pool, Optional.of(granted));
                LOG.infof("event=quota_granting pool=%d epoch=%d accounts=%d", pool, epoch, quotas.size());
            }
        }
    }

    /** Answers messages; empty if this instance does not grant from the pool. */
    Optional<Answer> answer(Head head, List<QuotaAsk> asks, ClockReading now) {
        int pool = head.pool();
        long epoch = leases.lease(pool).observed().epoch();
        if (pools.get(pool).isEmpty()
                || !leases.lease(pool).isHeld(now)
                || epochs[pool] != epoch
                || head.epoch() > epoch) {
            return Optional.empty();
        }
        QuotaPool granted = pools.get(pool).get();
        List<QuotaGrant> grants = new ArrayList<>();
        for (QuotaAsk ask : asks) {
            // An instance that has not heard of the epoch gets nothing but its number, and asks again.
            grants.add(
                    head.epoch() == epoch
                            ? granted.answer(head.sender() + '/' + head.process(), ask, now)
                            : new QuotaGrant(ask.account(), ask.generation(), 0, ask.sentAt(), 0));
        }
        return Optional.of(new Answer(epoch, grants));
    }

    /** Logs the amounts of the accounts that have changed since they were logged. */
    void logSummary(Set<String> accounts) {
        logged.keySet().removeIf(key -> !accounts.contains(key.substring(key.indexOf('/') + 1)));
        for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
            for (String account : accounts) {
                int number = pool;
                pools.get(pool)
                        .flatMap(granted -> granted.figures(account))
                        .ifPresent(figures -> log(number, account, figures));
            }
        }
    }

    private void log(int pool, String account, QuotaPool.Figures figures) {
        QuotaPool.Figures before = logged.put(pool + "/" + account, figures);
        if (before == null || before.granted() != figures.granted() || before.refused() != figures.refused()) {
            LOG.infof(
                    "event=quota_pool account=%s pool=%d epoch=%d granted=%d used=%d refused=%d level=%d outstanding=%d",
                    account,
                    pool,
                    epochs[pool],
                    figures.granted(),
                    figures.used(),
                    figures.refused(),
                    figures.level(),
                    figures.outstanding());
        }
    }
}
