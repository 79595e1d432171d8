package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.lease.LeaseTerms;
import java.time.Duration;

/**
 * Settings of leases. The defaults keep 90 units held by as many instances at 36 renewals a second.
 *
 * @param terms duration, drift bound and request deadline
 * @param renewalPeriod time between renewals; a third of the holder's part of the duration lets two renewals fail
 * @param observationPeriod time between reads of the units that this process is a candidate for
 * @param takeoverStagger delay per rank, so that the best candidate takes over first
 * @param storeDeadline longest time of one call of the table service
 */
public record AuthoritySettings(
        LeaseTerms terms,
        Duration renewalPeriod,
        Duration observationPeriod,
        Duration takeoverStagger,
        Duration storeDeadline) {

    /** Returns the defaults. */
    public static AuthoritySettings defaults() {
        return new AuthoritySettings(
                new LeaseTerms(Duration.ofSeconds(8), 0.01, Duration.ofSeconds(2)),
                Duration.ofMillis(2500),
                Duration.ofMillis(2500),
                Duration.ofMillis(250),
                Duration.ofSeconds(2));
    }
}
