package io.fireflywalk.daemon.operators;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.daemon.authority.AuthorityService;
import io.fireflywalk.operator.message.StatusTable;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/** Builds the tables of the status report. Stateless. */
public final class StatusTables {
    private StatusTables() {}

    /** Returns the members that this instance considers live. */
    public static StatusTable members(List<Member> members) {
        List<List<String>> rows = members.stream()
                .map(member -> List.of(
                        member.instance(),
                        member.region(),
                        member.availabilityZone(),
                        member.host() + ":" + member.peerPort(),
                        member.incarnation()))
                .toList();
        return new StatusTable(
                "live members",
                List.of("INSTANCE", "REGION", "AVAILABILITY ZONE", "PEER ADDRESS", "INCARNATION"),
                rows);
    }

    /** Returns the leases that this instance currently holds. */
    public static StatusTable leases(List<LeaseUnit> units, AuthorityService authorities) {
        List<List<String>> rows = new ArrayList<>();
        for (LeaseUnit unit : units) {
            authorities
                    .findAuthority(unit)
                    .ifPresent(authority -> rows.add(List.of(unit.key(), Long.toString(authority.token()))));
        }
        return new StatusTable("leases held here", List.of("UNIT", "FENCING TOKEN"), rows);
    }

    /** Returns the targets with their state as known to this instance. */
    public static StatusTable targets(
            ConfigurationSnapshot snapshot, ToIntFunction<Target> requestsInFlight, Predicate<Target> breakerClosed) {
        List<List<String>> rows = snapshot.targets().stream()
                .map(target -> List.of(
                        target.name(),
                        target.service(),
                        target.availabilityZone(),
                        target.host() + ":" + target.port(),
                        target.charge().name(),
                        Boolean.toString(target.leaving()),
                        breakerClosed.test(target) ? "closed" : "open",
                        Integer.toString(requestsInFlight.applyAsInt(target))))
                .toList();
        return new StatusTable(
                "targets as seen here",
                List.of(
                        "TARGET",
                        "SERVICE",
                        "AVAILABILITY ZONE",
                        "ADDRESS",
                        "CHARGE",
                        "LEAVING",
                        "BREAKER",
                        "REQUESTS"),
                rows);
    }
}
