package io.fireflywalk.core.admission;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Balances of all client accounts in weighted tokens, for weighted fair sharing across the fleet. Each settlement
 * debits every account with the work that was admitted for it since the last settlement, and credits the same total to
 * the active accounts by weight. Credit that would exceed an account's balance limit goes to the other accounts. A
 * positive balance means that the account received less than its share across the fleet.
 *
 * <p>Balances carry over from one settlement to the next within their limit. The work of peers comes from their
 * digests. During a partition each side distributes only the work that it sees; the limit bounds the correction after
 * the partition.
 *
 * <p>Not thread-safe.
 */
public final class ShareLedger {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double RATE_DECAY_PER_TENTH_SECOND = 0.1;
    /**
     * Rounds in which credit above a balance limit is passed on to other accounts. One round suffices unless that
     * credit brings further accounts to their limit.
     */
    private static final int DISTRIBUTION_ROUNDS = 3;

    private final AdmissionSettings settings;
    private double[] weights = new double[0];
    private double totalWeight;
    private double[] balances = new double[0];
    private double[] localUsage = new double[0];
    private double[] peerUsage = new double[0];
    private double[] unreportedUsage = new double[0];
    private long[] lastActiveAt = new long[0];
    private double fleetRate;
    private long settledAt = Long.MIN_VALUE;

    public ShareLedger(AdmissionSettings settings, double[] initialWeights) {
        this.settings = settings;
        setWeights(initialWeights);
    }

    /** Sets the weights, indexed by account. The number of accounts may grow; balances are kept. */
    public void setWeights(double[] newWeights) {
        int previousCount = weights.length;
        int count = newWeights.length;
        weights = newWeights.clone();
        totalWeight = Arrays.stream(weights).sum();
        balances = Arrays.copyOf(balances, count);
        localUsage = Arrays.copyOf(localUsage, count);
        peerUsage = Arrays.copyOf(peerUsage, count);
        unreportedUsage = Arrays.copyOf(unreportedUsage, count);
        lastActiveAt = Arrays.copyOf(lastActiveAt, count);
        if (count > previousCount) {
            Arrays.fill(lastActiveAt, previousCount, count, Long.MIN_VALUE / 2);
        }
    }

    public int accounts() {
        return weights.length;
    }

    /** Records that an account has requests, so that it receives a share. */
    public void markActive(int account, long now) {
        lastActiveAt[account] = now;
    }

    /** Charges admitted work to an account. A negative cost refunds the excess of an earlier estimate. */
    public void charge(int account, double cost, long now) {
        localUsage[account] += cost;
        unreportedUsage[account] += cost;
        lastActiveAt[account] = now;
    }

    /** Adds the work that a peer reported as admitted. */
    public void addPeerUsage(UsageDigest digest, long now) {
        for (UsageDigest.Entry entry : digest.entries()) {
            if (entry.account() >= 0 && entry.account() < weights.length && entry.cost() >= 0) {
                peerUsage[entry.account()] += entry.cost();
                lastActiveAt[entry.account()] = now;
            }
        }
    }

    /** Returns the account's balance relative to its limit: 1 is far below its share, -1 far above. */
    public double normalizedBalance(int account) {
        double balance = balances[account] - localUsage[account] - peerUsage[account];
        return Math.max(-1, Math.min(1, balance / balanceLimit(account)));
    }

    /** Debits and distributes the work admitted since the last settlement. */
    public void settle(long now) {
        double total = 0;
        for (int i = 0; i < weights.length; i++) {
            double used = localUsage[i] + peerUsage[i];
            total += used;
            balances[i] = Math.max(-balanceLimit(i), balances[i] - used);
            localUsage[i] = 0;
            peerUsage[i] = 0;
        }
        if (settledAt != Long.MIN_VALUE && now > settledAt) {
            double seconds = (now - settledAt) / NANOSECONDS_PER_SECOND;
            double smoothing = 1 - Math.exp(-RATE_DECAY_PER_TENTH_SECOND * seconds * 10);
            fleetRate += smoothing * (total / seconds - fleetRate);
        }
        settledAt = now;
        distribute(Math.max(0, total), now);
    }

    /** Returns the local work that no digest has reported yet, and marks it as reported. */
    public UsageDigest takeDigest(long configurationVersion, int[] queued) {
        List<UsageDigest.Entry> entries = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            if (unreportedUsage[i] > 0 || queued[i] > 0) {
                entries.add(new UsageDigest.Entry(i, Math.round(Math.max(0, unreportedUsage[i])), queued[i]));
                unreportedUsage[i] = Math.min(0, unreportedUsage[i]);
            }
        }
        if (entries.size() > UsageDigest.MAXIMUM_ENTRIES) {
            entries.sort(Comparator.comparingLong(UsageDigest.Entry::cost).reversed());
            List<UsageDigest.Entry> rest = entries.subList(UsageDigest.MAXIMUM_ENTRIES, entries.size());
            // Work of the omitted accounts stays unreported until they are among the largest of a later digest.
            rest.forEach(entry -> unreportedUsage[entry.account()] += entry.cost());
            rest.clear();
        }
        return new UsageDigest(configurationVersion, entries);
    }

    private void distribute(double total, long now) {
        double remaining = total;
        for (int round = 0; round < DISTRIBUTION_ROUNDS && remaining > 0; round++) {
            double weight = eligibleWeight(now);
            if (weight <= 0) {
                return;
            }
            double workPerWeight = remaining / weight;
            remaining = 0;
            for (int i = 0; i < weights.length; i++) {
                if (isActive(i, now) && balances[i] < balanceLimit(i)) {
                    double next = balances[i] + workPerWeight * weights[i];
                    balances[i] = Math.min(balanceLimit(i), next);
                    remaining += next - balances[i];
                }
            }
        }
    }

    private double eligibleWeight(long now) {
        double weight = 0;
        for (int i = 0; i < weights.length; i++) {
            weight += isActive(i, now) && balances[i] < balanceLimit(i) ? weights[i] : 0;
        }
        return weight;
    }

    private boolean isActive(int account, long now) {
        return now - lastActiveAt[account] < settings.activeSeconds() * NANOSECONDS_PER_SECOND;
    }

    private double balanceLimit(int account) {
        return Math.max(
                settings.minimumBalance(), settings.balanceSeconds() * fleetRate * weights[account] / totalWeight);
    }
}
