package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.ChangeAcknowledgement;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.daemon.peer.PeerHandlerRegistry;
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
 * Replicates log entries between members and determines which members hold a version. Confined to one event loop.
 */
public final class ConfigurationReplicator {
    private static final String PUSH_PATH = "/peer/v1/configuration";
    private static final String PULL_PATH = "/peer/v1/configuration/log";
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration EVALUATION_PERIOD = Duration.ofMillis(50);
    private static final int MAXIMUM_CONCURRENT_CALLS = 64;

    private final Member self;
    private final ConfigurationWatcher watcher;
    private final TerminatedIncarnations terminated;
    private final PeerTransport transport;
    private final TimerService timers;
    private boolean pullInProgress;

    ConfigurationReplicator(
            Member self,
            ConfigurationWatcher watcher,
            TerminatedIncarnations terminated,
            PeerTransport transport,
            TimerService timers) {
        this.self = self;
        this.watcher = watcher;
        this.terminated = terminated;
        this.transport = transport;
        this.timers = timers;
    }

    void register(PeerHandlerRegistry registry) {
        registry.addHandler(PUSH_PATH, ConfigurationMessages.LogEntries.class, push -> {
            return Single.fromCallable(() -> {
                watcher.applyEntries(push.entries());
                return new ConfigurationMessages.PushResponse(watcher.snapshot().version());
            });
        });
        registry.addHandler(
                PULL_PATH,
                ConfigurationMessages.PullRequest.class,
                pull -> Single.just(new ConfigurationMessages.LogEntries(watcher.entriesAfter(pull.after()))));
    }

    /** Pulls missing entries from a peer, or from the table service if the peer provides none; one pull at a time. */
    void pullFrom(Member peer) {
        if (pullInProgress) {
            return;
        }
        pullInProgress = true;
        long versionBefore = watcher.snapshot().version();
        Disposable unused = transport
                .call(
                        peer,
                        PULL_PATH,
                        new ConfigurationMessages.PullRequest(versionBefore),
                        ConfigurationMessages.LogEntries.class,
                        CALL_TIMEOUT)
                .observeOn(timers.scheduler())
                .doOnSuccess(response -> watcher.applyEntries(response.entries()))
                .ignoreElement()
                .onErrorComplete()
                .andThen(Completable.defer(() ->
                        watcher.snapshot().version() > versionBefore ? Completable.complete() : watcher.refresh()))
                .subscribe(() -> pullInProgress = false, cause -> pullInProgress = false);
    }

    /**
     * Pushes the log of this instance to the members that are not settled yet, and retries until the predicate holds or
     * the timeout expires. Emits the last state.
     */
    Single<ChangeAcknowledgement> replicateUntil(
            ChangeAcknowledgement initial, Predicate<ChangeAcknowledgement> completed, Duration timeout) {
        Replication replication = new Replication(initial);
        long deadline = timers.monotonicNanoseconds() + timeout.toNanos();
        return runRound(replication, completed, deadline);
    }

    private Single<ChangeAcknowledgement> runRound(
            Replication replication, Predicate<ChangeAcknowledgement> completed, long deadline) {
        List<Member> unsettled = replication.state.members().members().stream()
                .filter(member -> !replication.state.settled().contains(member.incarnation()))
                .toList();
        // Ends the round as soon as the predicate holds, so that an unresponsive member does not delay the result.
        Completable pushes = Flowable.fromIterable(unsettled)
                .flatMapCompletable(member -> pushTo(replication, member), false, MAXIMUM_CONCURRENT_CALLS);
        Completable completion = timers.every(EVALUATION_PERIOD)
                .takeUntil((Long tick) -> completed.test(replication.state))
                .ignoreElements();
        return pushes.ambWith(completion).andThen(Single.defer(() -> {
            if (completed.test(replication.state) || timers.monotonicNanoseconds() >= deadline) {
                return Single.just(replication.state);
            }
            return terminated
                    .refresh(unsettled)
                    .onErrorComplete()
                    .andThen(timers.after(RETRY_DELAY))
                    .andThen(Single.defer(() -> runRound(replication, completed, deadline)));
        }));
    }

    private Completable pushTo(Replication replication, Member member) {
        String incarnation = member.incarnation();
        if (terminated.contains(incarnation)) {
            replication.recordSettled(incarnation, timers.monotonicNanoseconds());
            return Completable.complete();
        }
        if (incarnation.equals(self.incarnation())) {
            replication.recordVersion(incarnation, watcher.snapshot().version(), timers.monotonicNanoseconds());
            return Completable.complete();
        }
        long knownVersion = replication.memberVersions.getOrDefault(incarnation, replication.state.version() - 1);
        var push = new ConfigurationMessages.LogEntries(watcher.entriesAfter(knownVersion));
        return transport
                .call(member, PUSH_PATH, push, ConfigurationMessages.PushResponse.class, CALL_TIMEOUT)
                .observeOn(timers.scheduler())
                .doOnSuccess(response ->
                        replication.recordVersion(incarnation, response.version(), timers.monotonicNanoseconds()))
                .ignoreElement()
                .onErrorComplete();
    }

    private static final class Replication {
        private final Map<String, Long> memberVersions = new HashMap<>();
        private ChangeAcknowledgement state;

        private Replication(ChangeAcknowledgement state) {
            this.state = state;
        }

        private void recordVersion(String incarnation, long version, long now) {
            memberVersions.put(incarnation, version);
            if (version >= state.version()) {
                recordSettled(incarnation, now);
            }
        }

        private void recordSettled(String incarnation, long now) {
            state = state.markSettled(incarnation, now);
        }
    }
}
