package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.lease.LeaseTerms;
import java.time.Duration;

/**
 * Lease settings. With the defaults, 90 units held by 90 instances cost 36 renewals per second.
 *
 * @param terms lease duration, clock drift bound and request deadline
 * @param renewalPeriod time between renewals; a third of the holder's validity period, so a lease survives two failed
 *     renewals
 * @param observationPeriod time between reads of the lease rows that this process is a candidate for
 * @param takeoverStagger takeover delay per candidate rank, so that the best-ranked candidate takes over first
 * @param storeDeadline deadline of one table service call
 */
public record AuthoritySettings(
        LeaseTerms terms,
        Duration renewalPeriod,
        Duration observationPeriod,
        Duration takeoverStagger,
        Duration storeDeadline) {

    public static AuthoritySettings defaults() {
        return new AuthoritySettings(
                new LeaseTerms(Duration.ofSeconds(8), 0.01, Duration.ofSeconds(2)),
                Duration.ofMillis(2500),
                Duration.ofMillis(2500),
                Duration.ofMillis(250),
                Duration.ofSeconds(2));
    }
}
