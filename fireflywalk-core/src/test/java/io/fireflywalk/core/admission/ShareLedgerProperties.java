package io.fireflywalk.core.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards the distribution of work among accounts and the size of usage digests. */
class ShareLedgerProperties {
    private static final long SECOND = 1_000_000_000L;
    private static final int ACCOUNTS = 4_400;

    @Property(tries = 200)
    void balanceStaysBoundedAndLighterUsersHaveHigherBalances(
            @ForAll @Size(min = 2, max = 8) List<@IntRange(min = 0, max = 5_000) Integer> costs) {
        double[] weights = new double[costs.size()];
        java.util.Arrays.fill(weights, 1);
        ShareLedger ledger = new ShareLedger(AdmissionSettings.defaults(), weights);
        for (int tick = 1; tick <= 200; tick++) {
            for (int account = 0; account < weights.length; account++) {
                ledger.charge(account, costs.get(account), tick * SECOND / 10);
            }
            ledger.settle(tick * SECOND / 10);
        }
        for (int first = 0; first < weights.length; first++) {
            assertTrue(Math.abs(ledger.normalizedBalance(first)) <= 1);
            for (int second = 0; second < weights.length; second++) {
                if (costs.get(first) < costs.get(second)) {
                    assertTrue(ledger.normalizedBalance(first) >= ledger.normalizedBalance(second));
                }
            }
        }
    }

    @Property(tries = 20)
    void digestIsBoundedAndLosesNoWork(@ForAll @IntRange(min = 1, max = 1_000) int cost) {
        double[] weights = new double[ACCOUNTS];
        java.util.Arrays.fill(weights, 1);
        ShareLedger ledger = new ShareLedger(AdmissionSettings.defaults(), weights);
        for (int account = 0; account < ACCOUNTS; account++) {
            ledger.charge(account, cost, 0);
        }
        long reported = 0;
        int digests = 0;
        UsageDigest digest = ledger.takeDigest(1, new int[ACCOUNTS]);
        while (!digest.entries().isEmpty()) {
            assertTrue(digest.entries().size() <= UsageDigest.MAXIMUM_ENTRIES);
            reported +=
                    digest.entries().stream().mapToLong(UsageDigest.Entry::cost).sum();
            digests++;
            digest = ledger.takeDigest(1, new int[ACCOUNTS]);
        }
        assertTrue(reported == (long) cost * ACCOUNTS, "reported " + reported + " in digests: " + digests);
    }
}
