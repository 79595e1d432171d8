package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.membership.Member;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.instance.InstanceList;
import io.fireflywalk.services.instance.InstanceStatus;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;

/**
 * Incarnations, that is, runs of the daemon process, that are known to have terminated: the platform lists them as
 * terminated, or a later incarnation of the same instance has registered. The latter relies on the platform never
 * running two incarnations of an instance at once. Missed heartbeats alone are no evidence. Confined to one event loop.
 */
public final class TerminatedIncarnations {
    private static final String REGISTRATION_TABLE = "instance";
    /** Registration reads per refresh, so that the loss of many members does not overload the table service. */
    private static final int MAXIMUM_REGISTRATION_READS = 16;

    private final TableService tables;
    private final InstanceList instances;
    private final TimerService timers;
    private final Set<String> terminated = new HashSet<>();

    TerminatedIncarnations(TableService tables, InstanceList instances, TimerService timers) {
        this.tables = tables;
        this.instances = instances;
        this.timers = timers;
    }

    /** Registers the member as the current incarnation of its instance. */
    Completable register(Member member) {
        return tables.execute(Transaction.builder(UUID.randomUUID().toString())
                        .put(REGISTRATION_TABLE, member.instance(), Codec.json().write(member))
                        .build())
                .ignoreElement();
    }

    boolean contains(String incarnation) {
        return terminated.contains(incarnation);
    }

    Set<String> incarnations() {
        return Set.copyOf(terminated);
    }

    /** Discards all incarnations that are not in the given set. */
    void retain(Set<String> incarnations) {
        terminated.retainAll(incarnations);
    }

    /** Reads the platform's instance list and the registrations of the unresponsive members. */
    Completable refresh(List<Member> unresponsive) {
        Completable platformList = instances
                .read()
                .observeOn(timers.scheduler())
                .doOnSuccess(statuses -> statuses.stream()
                        .filter(status -> status.state() == InstanceStatus.State.TERMINATED)
                        .forEach(status -> terminated.add(status.incarnation())))
                .ignoreElement();
        Completable registrations = Flowable.fromIterable(unresponsive)
                .filter(member -> !terminated.contains(member.incarnation()))
                .take(MAXIMUM_REGISTRATION_READS)
                .concatMapCompletable(this::readRegistration);
        return platformList.onErrorComplete().andThen(registrations);
    }

    private Completable readRegistration(Member member) {
        return tables.read(REGISTRATION_TABLE, member.instance())
                .observeOn(timers.scheduler())
                .doOnSuccess(row -> {
                    if (row.isPresent()) {
                        Member registered = Codec.json().read(row.get().value(), Member.class, REGISTRATION_TABLE);
                        if (!registered.incarnation().equals(member.incarnation())) {
                            terminated.add(member.incarnation());
                        }
                    }
                })
                .ignoreElement();
    }
}
