package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.ChangeAcknowledgement;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.daemon.peer.PeerCalls;
import io.fireflywalk.daemon.peer.PeerTransport;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Carries log entries between members and finds out which members hold a version. Confined to one event loop.
 */
public final class ConfigurationExchange {
    private static final String PUSH_PATH = "/peer/v1/configuration";
    private static final String PULL_PATH = "/peer/v1/configuration/log";
    private static final Duration CALL_DEADLINE = Duration.ofMillis(600);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);
    private static final Duration EVALUATION_PERIOD = Duration.ofMillis(50);
    private static final int CONCURRENT_CALLS = 64;

    private final Member self;
    private final ConfigurationWatcher watcher;
    private final EndedRuns ended;
    private final PeerTransport transport;
    private final TimerService timers;
    private boolean pulling;

    ConfigurationExchange(
            Member self, ConfigurationWatcher watcher, EndedRuns ended, PeerTransport transport, TimerService timers) {
        this.self = self;
        this.watcher = watcher;
        this.ended = ended;
        this.transport = transport;
        this.timers = timers;
    }

    void register(PeerCalls calls) {
        calls.addCall(PUSH_PATH, ConfigurationMessages.Push.class, push -> {
            return Single.fromCallable(() -> {
                watcher.adoptEntries(push.entries());
                return new ConfigurationMessages.Held(watcher.snapshot().version());
            });
        });
        calls.addCall(
                PULL_PATH,
                ConfigurationMessages.Pull.class,
                pull -> Single.just(new ConfigurationMessages.Push(watcher.entriesAfter(pull.after()))));
    }

    /** Fetches missing entries from a peer, or from the store if the peer cannot help; one fetch at a time. */
    void pullFrom(Member peer) {
        if (pulling) {
            return;
        }
        pulling = true;
        long before = watcher.snapshot().version();
        Disposable unused = transport
                .call(
                        peer,
                        PULL_PATH,
                        new ConfigurationMessages.Pull(before),
                        ConfigurationMessages.Push.class,
                        CALL_DEADLINE)
                .observeOn(timers.scheduler())
                .doOnSuccess(push -> watcher.adoptEntries(push.entries()))
                .ignoreElement()
                .onErrorComplete()
                .andThen(Completable.defer(
                        () -> watcher.snapshot().version() > before ? Completable.complete() : watcher.refresh()))
                .subscribe(() -> pulling = false, cause -> pulling = false);
    }

    /**
     * Pushes what this instance holds to the members that are not settled yet, again and again, until the predicate
     * holds or the time is over; emits the state reached.
     */
    Single<ChangeAcknowledgement> settle(
            ChangeAcknowledgement start, Predicate<ChangeAcknowledgement> done, Duration limit) {
        Settlement settlement = new Settlement(start);
        long end = timers.monotonicNanoseconds() + limit.toNanos();
        return round(settlement, done, end);
    }

    private Single<ChangeAcknowledgement> round(
            Settlement settlement, Predicate<ChangeAcknowledgement> done, long end) {
        List<Member> missing = settlement.state.members().members().stream()
                .filter(member -> !settlement.state.settled().contains(member.incarnation()))
                .toList();
        // A silent member must not hold up the evaluation, so the round ends as soon as the predicate holds.
        Completable asked = Flowable.fromIterable(missing)
                .flatMapCompletable(member -> ask(settlement, member), false, CONCURRENT_CALLS);
        Completable decided = timers.every(EVALUATION_PERIOD)
                .takeUntil((Long tick) -> done.test(settlement.state))
                .ignoreElements();
        return asked.ambWith(decided).andThen(Single.defer(() -> {
            if (done.test(settlement.state) || timers.monotonicNanoseconds() >= end) {
                return Single.just(settlement.state);
            }
            return ended.refresh(missing)
                    .onErrorComplete()
                    .andThen(timers.after(RETRY_PAUSE))
                    .andThen(Single.defer(() -> round(settlement, done, end)));
        }));
    }

    private Completable ask(Settlement settlement, Member member) {
        String incarnation = member.incarnation();
        if (ended.contains(incarnation)) {
            settlement.settled(incarnation, timers.monotonicNanoseconds());
            return Completable.complete();
        }
        if (incarnation.equals(self.incarnation())) {
            settlement.held(incarnation, watcher.snapshot().version(), timers.monotonicNanoseconds());
            return Completable.complete();
        }
        long known = settlement.heldVersions.getOrDefault(incarnation, settlement.state.version() - 1);
        var push = new ConfigurationMessages.Push(watcher.entriesAfter(known));
        return transport
                .call(member, PUSH_PATH, push, ConfigurationMessages.Held.class, CALL_DEADLINE)
                .observeOn(timers.scheduler())
                .doOnSuccess(answer -> settlement.held(incarnation, answer.version(), timers.monotonicNanoseconds()))
                .ignoreElement()
                .onErrorComplete();
    }

    private static final class Settlement {
        private final Map<String, Long> heldVersions = new HashMap<>();
        private ChangeAcknowledgement state;

        private Settlement(ChangeAcknowledgement state) {
            this.state = state;
        }

        private void held(String incarnation, long version, long now) {
            heldVersions.put(incarnation, version);
            if (version >= state.version()) {
                settled(incarnation, now);
            }
        }

        private void settled(String incarnation, long now) {
            state = state.settled(incarnation, now);
        }
    }
}
