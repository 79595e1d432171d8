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
 * Runs of the daemon that are known to have ended for good: the platform lists them as terminated, or a later run of
 * the same instance has registered. The second rests on the platform never running one instance twice at a time.
 * Silence alone never counts. Confined to one event loop.
 */
public final class EndedRuns {
    private static final String REGISTRATION_TABLE = "instance";
    /** Registration reads per refresh, so that the loss of many members does not flood the table service. */
    private static final int MAXIMUM_REGISTRATION_READS = 16;

    private final TableService tables;
    private final InstanceList instances;
    private final TimerService timers;
    private final Set<String> ended = new HashSet<>();

    EndedRuns(TableService tables, InstanceList instances, TimerService timers) {
        this.tables = tables;
        this.instances = instances;
        this.timers = timers;
    }

    /** Registers a run as the present one of its instance. */
    Completable register(Member member) {
        return tables.execute(Transaction.builder(UUID.randomUUID().toString())
                        .put(REGISTRATION_TABLE, member.instance(), Codec.json().write(member))
                        .build())
                .ignoreElement();
    }

    /** Tells whether the run is known to have ended. */
    boolean contains(String incarnation) {
        return ended.contains(incarnation);
    }

    /** Returns the runs known to have ended. */
    Set<String> incarnations() {
        return Set.copyOf(ended);
    }

    /** Forgets the runs that are members no longer. */
    void retain(Set<String> incarnations) {
        ended.retainAll(incarnations);
    }

    /** Reads the platform's list, and the registrations of members that do not answer. */
    Completable refresh(List<Member> silent) {
        Completable list = instances
                .read()
                .observeOn(timers.scheduler())
                .doOnSuccess(statuses -> statuses.stream()
                        .filter(status -> status.state() == InstanceStatus.State.TERMINATED)
                        .forEach(status -> ended.add(status.incarnation())))
                .ignoreElement();
        Completable registrations = Flowable.fromIterable(silent)
                .filter(member -> !ended.contains(member.incarnation()))
                .take(MAXIMUM_REGISTRATION_READS)
                .concatMapCompletable(this::readRegistration);
        return list.onErrorComplete().andThen(registrations);
    }

    private Completable readRegistration(Member member) {
        return tables.read(REGISTRATION_TABLE, member.instance())
                .observeOn(timers.scheduler())
                .doOnSuccess(row -> {
                    if (row.isPresent()) {
                        Member registered = Codec.json().read(row.get().value(), Member.class, REGISTRATION_TABLE);
                        if (!registered.incarnation().equals(member.incarnation())) {
                            ended.add(member.incarnation());
                        }
                    }
                })
                .ignoreElement();
    }
}
