package io.fireflywalk.daemon.ingress;

import java.util.HashSet;
import java.util.Set;

/** Counters of quotas by account. Confined to one event loop. */
final class QuotaMetrics {
    /** Bounds the metrics page; further accounts are counted together. */
    private static final int MAXIMUM_ACCOUNTS = 256;

    private static final String OTHER_ACCOUNTS = "other";

    private final IngressMetrics metrics;
    private final Set<String> accounts = new HashSet<>();

    QuotaMetrics(IngressMetrics metrics) {
        this.metrics = metrics;
    }

    /** Counts an amount that was granted to this instance. */
    void granted(String account, long amount) {
        metrics.count("quota_granted_" + label(account), amount);
    }

    /** Counts the amount of a request that was charged. */
    void used(String account, long amount) {
        metrics.count("quota_used_" + label(account), amount);
    }

    /** Counts the amount of a request that was refused. */
    void refused(String account, long amount) {
        metrics.count("quota_refused_" + label(account), amount);
    }

    private String label(String account) {
        if (accounts.size() < MAXIMUM_ACCOUNTS) {
            accounts.add(account);
        }
        return accounts.contains(account) ? account : OTHER_ACCOUNTS;
    }
}
