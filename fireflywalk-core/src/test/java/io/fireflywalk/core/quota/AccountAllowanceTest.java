package io.fireflywalk.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.quota.AccountAllowance.Fleet;
import io.fireflywalk.core.quota.AccountAllowance.Outlook.Decision;
import io.fireflywalk.core.quota.AccountAllowance.Step;
import io.fireflywalk.core.quota.AccountQuota.Unit;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an explanation that differs from the decision on a request, or that uses a part of the quota. */
class AccountAllowanceTest {
    private static final QuotaLimits LIMITS =
            new QuotaTerms(8, 0.1, 0).limits(new AccountQuota(Unit.REQUESTS, 100, 100, 1));
    private static final long SECOND = 1_000_000_000L;

    /** The instance holds 10; the grant expires after 3 s, and the equal share grows from the first maintenance on. */
    @ParameterizedTest
    @CsvSource({
        "10, 1, true, false, COVERED",
        "11, 1, true, false, GRANT_NEEDED",
        "11, 1, false, false, REFUSED",
        "10, 4, true, false, GRANT_NEEDED",
        "2, 4, false, true, COVERED",
        "10, 4, false, false, REFUSED"
    })
    void evaluationIsTheDecisionAndUsesNothing(
            long amount, int second, boolean granterKnown, boolean shareUsable, Decision decision) {
        AccountAllowance allowance = new AccountAllowance("account", 0, LIMITS, new Random(1));
        allowance.onGrant(0, 0, new QuotaGrant("account", 1, 10, 0, 0), new ClockReading(0, 0));
        Fleet fleet = new Fleet(1, shareUsable, List.of(granterKnown, granterKnown));
        allowance.maintain(new Fleet(1, shareUsable, List.of(false, false)), new ClockReading(0, 0));
        ClockReading now = new ClockReading(second * SECOND, second * SECOND);
        for (int repeat = 0; repeat < 3; repeat++) {
            assertEquals(decision, allowance.evaluate(amount, fleet, now).decision());
        }
        assertEquals(0, allowance.figures().used());
        if (!allowance.take(amount, now)) {
            allowance.await(1, amount, now);
        }
        Step step = allowance.step(fleet, now);
        Decision actual = allowance.figures().used() > 0
                ? Decision.COVERED
                : allowance.hasWaiting() ? Decision.GRANT_NEEDED : Decision.REFUSED;
        assertEquals(decision, actual);
        assertEquals(decision == Decision.REFUSED ? 1 : 0, step.refused().size());
    }
}
