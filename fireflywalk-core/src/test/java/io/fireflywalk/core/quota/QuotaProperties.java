package io.fireflywalk.core.quota;

import static io.fireflywalk.core.quota.QuotaFleet.MILLISECOND;
import static io.fireflywalk.core.quota.QuotaFleet.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.quota.AccountQuota.Unit;
import io.fireflywalk.core.quota.QuotaFleet.Instance;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/**
 * Guards against instances that together use more of a quota than the rule allows in any window, whatever freezes, is cut
 * off, restarts, joins or leaves, and against refusals of requests within the quota.
 */
class QuotaProperties {
    private static final QuotaTerms TERMS = new QuotaTerms(8, 0.1, 190_000);
    /** Kinds of requests: short and long prompts. */
    private static final long[] AMOUNTS = {387, 387, 387, 17_033};

    private static void load(QuotaFleet fleet, double amountPerSecond, long duration) {
        double credit = 0;
        for (long time = 0; time < duration; time += 10 * MILLISECOND) {
            credit += amountPerSecond / 100;
            while (credit > 0) {
                long amount = AMOUNTS[fleet.random.nextInt(AMOUNTS.length)];
                credit -= amount;
                // Callers are spread unevenly: half of the load comes through a quarter of the instances.
                int bound = fleet.random.nextBoolean() ? (fleet.instances.size() + 3) / 4 : fleet.instances.size();
                fleet.instances.get(fleet.random.nextInt(bound)).request(amount);
            }
            fleet.advance(10 * MILLISECOND);
        }
    }

    private static void disturb(QuotaFleet fleet) {
        switch (fleet.random.nextInt(8)) {
            case 0 -> fleet.storeDown = !fleet.storeDown;
            case 1 -> fleet.lossRate = fleet.random.nextInt(3) * 0.2;
            case 2 -> fleet.join();
            case 3 -> fleet.instances.forEach(Instance::recover);
            default -> fail(fleet);
        }
    }

    @Property(tries = 60, seed = "20261206")
    void sumOverAnyWindowHoldsUnderDisturbances(@ForAll long seed, @ForAll @LongRange(min = 0, max = 2) long size) {
        AccountQuota quota = QuotaFleet.tokens(new double[] {5_000, 60_000, 403_953}[(int) size]);
        QuotaFleet fleet = new QuotaFleet(seed, quota, TERMS, 8);
        for (int step = 0; step < 40; step++) {
            load(fleet, quota.amountPerSecond() * (fleet.random.nextBoolean() ? 4 : 0.5), 700 * MILLISECOND);
            disturb(fleet);
        }
        double excess = fleet.excessInAnyWindow(quota, 0);
        assertTrue(excess <= 0, "the quota is exceeded by " + excess);
    }

    /** A burst above what accrues in a window, so that anything granted twice exceeds the rule. */
    @Property(tries = 150, seed = "5")
    void sumHoldsForBurstsAfterFailures(@ForAll long seed, @ForAll @IntRange(min = 2, max = 4) int size) {
        AccountQuota quota = new AccountQuota(Unit.TOKENS, 10_000, 100_000, 200);
        QuotaTerms terms = new QuotaTerms(8, 0.1, 0);
        QuotaFleet fleet = new QuotaFleet(seed, quota, terms, size);
        fleet.lateRate = 0;
        load(fleet, 3_000, 21 * SECOND);
        for (int step = 0; step < 5; step++) {
            load(fleet, 3_000, (1 + fleet.random.nextInt(13)) * SECOND);
            int failures = 1 + fleet.random.nextInt(3);
            for (int failure = 0; failure < failures; failure++) {
                fail(fleet);
                load(fleet, fleet.random.nextInt(3) == 0 ? 500_000 : 3_000, fleet.random.nextInt(14) * SECOND / 4);
            }
            if (fleet.random.nextBoolean()) {
                load(fleet, 3_000, fleet.random.nextInt(25) * SECOND);
            }
            fleet.instances.forEach(Instance::recover);
            load(fleet, 500_000, SECOND);
            load(fleet, 40_000, 8 * SECOND);
        }
        double excess = fleet.excessInAnyWindow(quota, 0);
        assertTrue(excess <= 0, "the quota is exceeded by " + excess);
    }

    /** One failure, of a granter more often than of another instance. */
    private static void fail(QuotaFleet fleet) {
        List<Instance> granters =
                fleet.instances.stream().filter(Instance::grants).toList();
        List<Instance> candidates = granters.isEmpty() || fleet.random.nextInt(3) == 0 ? fleet.instances : granters;
        Instance chosen = candidates.get(fleet.random.nextInt(candidates.size()));
        switch (fleet.random.nextInt(6)) {
            case 0 -> chosen.freeze(false);
            case 1 -> chosen.freeze(true);
            case 2 -> chosen.cutOff = true;
            case 3 -> chosen.storeCut = true;
            case 4 -> chosen.leave();
            default -> chosen.restart();
        }
    }

    @Property(tries = 20, seed = "11")
    void requestsWithinTheQuotaAreAdmitted(@ForAll long seed, @ForAll boolean small) {
        AccountQuota quota = QuotaFleet.tokens(small ? 20_000 : 403_953);
        QuotaFleet fleet = new QuotaFleet(seed, quota, TERMS, 70);
        fleet.lateRate = 0.002;
        fleet.advance(5 * SECOND);
        load(fleet, (small ? 0.6 : 0.8) * quota.amountPerSecond(), 20 * SECOND);
        assertEquals(0, fleet.refusals);
    }

    @Property(tries = 10, seed = "13")
    void accountOverItsQuotaStillGetsItsQuota(@ForAll long seed) {
        AccountQuota quota = QuotaFleet.tokens(60_000);
        QuotaFleet fleet = new QuotaFleet(seed, quota, TERMS, 20);
        fleet.advance(5 * SECOND);
        load(fleet, 6 * quota.amountPerSecond(), 16 * SECOND);
        assertTrue(fleet.used() >= 0.9 * 16 * quota.amountPerSecond(), "used only " + fleet.used());
    }

    @Property(tries = 20, seed = "14")
    void reducedQuotaHoldsAfterOneWindow(@ForAll long seed) {
        QuotaFleet fleet = new QuotaFleet(seed, QuotaFleet.tokens(403_953), TERMS, 10);
        fleet.advance(5 * SECOND);
        load(fleet, 1_600_000, 10 * SECOND);
        fleet.quota = QuotaFleet.tokens(40_000);
        long reducedAt = fleet.now;
        load(fleet, 400_000, 20 * SECOND);
        assertTrue(fleet.excessInAnyWindow(fleet.quota, reducedAt + 8 * SECOND) <= 0);
    }

    @Example
    void sharesServeShortPromptsWithoutAnyGranterWithinTheirPart() {
        AccountQuota quota = QuotaFleet.tokens(403_953);
        QuotaFleet fleet = new QuotaFleet(3, quota, TERMS, 10);
        load(fleet, 10_000, 40 * SECOND);
        fleet.lossRate = 1;
        fleet.advance(5 * SECOND);
        List<Instance> others =
                fleet.instances.stream().filter(instance -> !instance.grants()).toList();
        long before = fleet.used();
        others.forEach(instance -> instance.request(387));
        fleet.advance(SECOND);
        assertEquals(before + 387L * others.size(), fleet.used());
        for (int request = 0; request < 60; request++) {
            others.forEach(instance -> instance.request(387));
        }
        fleet.advance(SECOND);
        double shares = QuotaLimits.SHARE_FRACTION * TERMS.limits(quota).excess();
        assertTrue(fleet.used() - before <= shares, "the shares exceed their part of the quota");
    }
}
