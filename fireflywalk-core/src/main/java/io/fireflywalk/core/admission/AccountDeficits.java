package io.fireflywalk.core.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * How far each client account of one service is above or below an equal share, by name, from the {@link ShareLedger}
 * that {@code run} uses too. Accounts beyond a bound are counted together. Not thread-safe.
 */
final class AccountDeficits {
    private static final int MAXIMUM_ACCOUNTS = 1024;
    private static final long SETTLEMENT_NANOSECONDS = 200_000_000L;
    /** Index of accounts beyond the bound. */
    private static final int OTHER = 0;

    /** Excess of an account that has had no request. */
    private static final double INITIAL_EXCESS = 0.5;

    private final ShareLedger ledger;
    private final Map<String, Integer> indexes = new HashMap<>();
    private long settledAt = Long.MIN_VALUE / 2;

    AccountDeficits(AdmissionSettings settings) {
        ledger = new ShareLedger(settings, new double[] {1});
    }

    /** Charges admitted work to an account. */
    void charge(String account, double cost, long now) {
        ledger.charge(index(account), cost, now);
        settleIfDue(now);
    }

    /** Records that an account has requests. */
    void markActive(String account, long now) {
        ledger.markActive(index(account), now);
        settleIfDue(now);
    }

    /** Returns the excess of an account over its share, from 0 (far below) to 1 (far above). */
    double excess(String account) {
        Integer known = indexes.get(account);
        if (known == null && indexes.size() < MAXIMUM_ACCOUNTS) {
            return INITIAL_EXCESS;
        }
        return (1 - ledger.normalizedBalance(known == null ? OTHER : known)) / 2;
    }

    private int index(String account) {
        Integer known = indexes.get(account);
        if (known != null) {
            return known;
        }
        if (indexes.size() >= MAXIMUM_ACCOUNTS) {
            return OTHER;
        }
        int index = indexes.size() + 1;
        double[] weights = new double[index + 1];
        Arrays.fill(weights, 1);
        ledger.setWeights(weights);
        indexes.put(account, index);
        return index;
    }

    private void settleIfDue(long now) {
        if (now - settledAt >= SETTLEMENT_NANOSECONDS) {
            ledger.settle(now);
            settledAt = now;
        }
    }
}
