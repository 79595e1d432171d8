package io.fireflywalk.core.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards the division of work among accounts and the size of what instances tell each other of it. */
class ShareLedgerProperties {
    private static final long SECOND = 1_000_000_000L;
    private static final int ACCOUNTS = 4_400;

    @Property(tries = 200)
    void standingStaysBoundedAndTheLightestUserStandsHighest(
            @ForAll @Size(min = 2, max = 8) List<@IntRange(min = 0, max = 5_000) Integer> costs) {
        double[] weights = new double[costs.size()];
        java.util.Arrays.fill(weights, 1);
        ShareLedger ledger = new ShareLedger(AdmissionSettings.defaults(), weights);
        for (int tick = 1; tick <= 200; tick++) {
            for (int account = 0; account < weights.length; account++) {
                ledger.use(account, costs.get(account), tick * SECOND / 10);
            }
            ledger.settle(tick * SECOND / 10);
        }
        for (int one = 0; one < weights.length; one++) {
            assertTrue(Math.abs(ledger.standing(one)) <= 1);
            for (int other = 0; other < weights.length; other++) {
                if (costs.get(one) < costs.get(other)) {
                    assertTrue(ledger.standing(one) >= ledger.standing(other));
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
            ledger.use(account, cost, 0);
        }
        long told = 0;
        int digests = 0;
        UsageDigest digest = ledger.takeDigest(1, new int[ACCOUNTS]);
        while (!digest.entries().isEmpty()) {
            assertTrue(digest.entries().size() <= UsageDigest.MAXIMUM_ENTRIES);
            told += digest.entries().stream().mapToLong(UsageDigest.Entry::cost).sum();
            digests++;
            digest = ledger.takeDigest(1, new int[ACCOUNTS]);
        }
        assertTrue(told == (long) cost * ACCOUNTS, "told " + told + " in " + digests);
    }
}
