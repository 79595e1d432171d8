package io.fireflywalk.core.admission;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Balances of all client accounts in weighted tokens. Each settlement divides all work that the fleet admitted since the
 * last one among the active accounts by their weights and takes from each what it used; what an account cannot take
 * because its balance is at the bound goes to the others. So a positive balance means that the account got less than
 * its share across the fleet. Deficits and credits are carried over within the bound. Work of peers comes from their
 * digests; in a partition each side divides what it sees, and the bound limits what has to be made up afterwards.
 * Confined to one thread.
 */
public final class ShareLedger {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double RATE_WEIGHT = 0.1;
    /** Rounds of passing on what accounts at the bound cannot take; one round settles all but chains of them. */
    private static final int DIVISION_ROUNDS = 3;

    private final AdmissionSettings settings;
    private final double[] weights;
    private final double totalWeight;
    private final double[] balances;
    private final double[] ownUsed;
    private final double[] peerUsed;
    private final double[] undigested;
    private final long[] activeAt;
    private double rate;
    private long settledAt = Long.MIN_VALUE;

    public ShareLedger(AdmissionSettings settings, double[] weights) {
        this.settings = settings;
        this.weights = weights.clone();
        this.totalWeight = Arrays.stream(weights).sum();
        int count = weights.length;
        this.balances = new double[count];
        this.ownUsed = new double[count];
        this.peerUsed = new double[count];
        this.undigested = new double[count];
        this.activeAt = new long[count];
        Arrays.fill(activeAt, Long.MIN_VALUE / 2);
    }

    /** Returns the number of accounts. */
    public int accounts() {
        return weights.length;
    }

    /** Notes that an account has work to do. */
    public void active(int account, long now) {
        activeAt[account] = now;
    }

    /** Charges admitted work to an account; negative work gives back what an earlier estimate was too high by. */
    public void use(int account, double cost, long now) {
        ownUsed[account] += cost;
        undigested[account] += cost;
        activeAt[account] = now;
    }

    /** Takes the work that a peer admitted. */
    public void peerUsed(UsageDigest digest, long now) {
        for (UsageDigest.Entry entry : digest.entries()) {
            if (entry.account() >= 0 && entry.account() < weights.length && entry.cost() >= 0) {
                peerUsed[entry.account()] += entry.cost();
                activeAt[entry.account()] = now;
            }
        }
    }

    /** Returns the account's balance in units of its bound: 1 far below its share, -1 far above. */
    public double standing(int account) {
        double balance = balances[account] - ownUsed[account] - peerUsed[account];
        return Math.max(-1, Math.min(1, balance / bound(account)));
    }

    /** Divides the work since the last settlement. */
    public void settle(long now) {
        double total = 0;
        for (int i = 0; i < weights.length; i++) {
            double used = ownUsed[i] + peerUsed[i];
            total += used;
            balances[i] = Math.max(-bound(i), balances[i] - used);
            ownUsed[i] = 0;
            peerUsed[i] = 0;
        }
        if (settledAt != Long.MIN_VALUE && now > settledAt) {
            double seconds = (now - settledAt) / NANOSECONDS_PER_SECOND;
            double weight = 1 - Math.exp(-RATE_WEIGHT * seconds * 10);
            rate += weight * (total / seconds - rate);
        }
        settledAt = now;
        divide(Math.max(0, total), now);
    }

    /** Returns the work since the last digest and forgets it. */
    public UsageDigest takeDigest(long configurationVersion, int[] queued) {
        List<UsageDigest.Entry> entries = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            if (undigested[i] > 0 || queued[i] > 0) {
                entries.add(new UsageDigest.Entry(i, Math.round(Math.max(0, undigested[i])), queued[i]));
                undigested[i] = Math.min(0, undigested[i]);
            }
        }
        if (entries.size() > UsageDigest.MAXIMUM_ENTRIES) {
            entries.sort(Comparator.comparingLong(UsageDigest.Entry::cost).reversed());
            List<UsageDigest.Entry> rest = entries.subList(UsageDigest.MAXIMUM_ENTRIES, entries.size());
            // The unnamed accounts keep their work for a later digest, when they may be among the largest.
            rest.forEach(entry -> undigested[entry.account()] += entry.cost());
            rest.clear();
        }
        return new UsageDigest(configurationVersion, entries);
    }

    private void divide(double total, long now) {
        double remaining = total;
        for (int round = 0; round < DIVISION_ROUNDS && remaining > 0; round++) {
            double weight = openWeight(now);
            if (weight <= 0) {
                return;
            }
            double part = remaining / weight;
            remaining = 0;
            for (int i = 0; i < weights.length; i++) {
                if (isActive(i, now) && balances[i] < bound(i)) {
                    double next = balances[i] + part * weights[i];
                    balances[i] = Math.min(bound(i), next);
                    remaining += next - balances[i];
                }
            }
        }
    }

    private double openWeight(long now) {
        double weight = 0;
        for (int i = 0; i < weights.length; i++) {
            weight += isActive(i, now) && balances[i] < bound(i) ? weights[i] : 0;
        }
        return weight;
    }

    private boolean isActive(int account, long now) {
        return now - activeAt[account] < settings.activeSeconds() * NANOSECONDS_PER_SECOND;
    }

    private double bound(int account) {
        return Math.max(settings.minimumBalance(), settings.balanceSeconds() * rate * weights[account] / totalWeight);
    }
}
