package io.fireflywalk.daemon.claim;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.claim.StoredAnswer;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.daemon.fault.FaultyTableService;
import io.fireflywalk.services.object.InMemoryObjectStore;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Instances that run claimed requests against one target, with faults of store, peers and instances. */
final class ClaimFleet {
    private static final int SHARDS = 2;

    final TestScheduler scheduler = new TestScheduler();
    final FaultyTableService tables;
    final InMemoryObjectStore objects = new InMemoryObjectStore();
    final List<Node> nodes = new ArrayList<>();
    /** Number of runs at the target by key and request. */
    final Map<String, Integer> runs = new HashMap<>();

    final List<Outcome> outcomes = new ArrayList<>();
    final Random random;
    int lostMessages;
    private int started;

    ClaimFleet(long seed, int size) {
        this.random = new Random(seed);
        this.tables = new FaultyTableService(new InMemoryTableService(), scheduler, seed + 1);
        for (int i = 0; i < size; i++) {
            startNode();
        }
    }

    void startNode() {
        nodes.add(new Node(started++));
    }

    List<Node> alive() {
        return nodes.stream().filter(node -> node.alive).toList();
    }

    /** A caller's request at the node; the run takes time and may fail before or after the target ran it. */
    void call(Node node, String key, String request, RunState failure) {
        int before = runs.getOrDefault(key + request, 0);
        Disposable unused = node.service
                .claimBeforeFirstAttempt("county", key, request)
                .subscribe(
                        decision -> decided(node, key, request, failure, decision),
                        cause -> outcomes.add(new Outcome(
                                key,
                                request,
                                Optional.of((FireflywalkException) cause),
                                Optional.empty(),
                                before,
                                runs.getOrDefault(key + request, 0))));
    }

    private void decided(Node node, String key, String request, RunState failure, ClaimDecision decision) {
        if (decision.stored().isPresent()) {
            int run = runs.getOrDefault(key + request, 0);
            outcomes.add(new Outcome(key, request, Optional.empty(), Optional.of(text(decision)), run, run));
            return;
        }
        if (!node.alive) {
            return;
        }
        ClaimedExchange exchange =
                new ClaimedExchange(node.service, decision.granted().orElseThrow());
        if (failure == RunState.NOT_RUN) {
            Disposable unused = exchange.failed(RunState.NOT_RUN).subscribe();
            return;
        }
        // The request has left: the target runs it whatever happens to the instance.
        scheduler.scheduleDirect(
                () -> {
                    runs.merge(key + request, 1, Integer::sum);
                    if (!node.alive) {
                        return;
                    }
                    if (failure == RunState.UNKNOWN) {
                        Disposable unused = exchange.failed(RunState.UNKNOWN).subscribe();
                        return;
                    }
                    exchange.answerStarted(200, MultiMap.caseInsensitiveMultiMap());
                    exchange.answerChunk(Buffer.buffer(answerTo(key, request)));
                    Disposable unused = exchange.answerEnded().subscribe();
                },
                random.nextInt(1500),
                TimeUnit.MILLISECONDS);
    }

    static String answerTo(String key, String request) {
        // One of the requests has an answer that belongs in the object store.
        return (request + key).repeat(request.equals("b") ? ClaimLimits.INLINE_BODY_BYTES : 1);
    }

    private static String text(ClaimDecision decision) {
        List<StoredAnswer.Header> headers = decision.stored().orElseThrow().headers();
        return headers.isEmpty() ? decision.stored().get().body().toString() : headers.toString();
    }

    private List<Member> members() {
        return alive().stream().map(node -> node.self).toList();
    }

    private Single<ClaimMessages.Results> deliver(Member to, ClaimMessages.Operations message) {
        Node target =
                nodes.stream().filter(node -> node.self.equals(to)).findFirst().orElseThrow();
        if (random.nextInt(100) < lostMessages) {
            if (random.nextBoolean()) {
                // The message arrives twice and late, and its answer is lost.
                for (int i = 0; i < 2; i++) {
                    scheduler.scheduleDirect(
                            () -> target.accept(message), random.nextInt(8_000), TimeUnit.MILLISECONDS);
                }
            }
            return timedOut();
        }
        return Single.timer(1, TimeUnit.MILLISECONDS, scheduler).flatMap(tick -> target.accept(message));
    }

    private Single<ClaimMessages.Results> timedOut() {
        return Single.timer(1, TimeUnit.SECONDS, scheduler)
                .flatMap(tick -> Single.error(new IllegalStateException("no answer")));
    }

    /** What a caller was told, with the number of runs before its call and when it was told. */
    record Outcome(
            String key,
            String request,
            Optional<FireflywalkException> error,
            Optional<String> answer,
            int runsBefore,
            int runsAfter) {}

    /** One instance. */
    final class Node {
        final Member self;
        final ClaimService service;
        final ClaimRouter router;
        final ClaimCommitter committer;
        boolean alive = true;

        Node(int number) {
            self = new Member("i" + number, "i" + number, "region", "zone-" + number % 3, "127.0.0.1", 1);
            SchedulerTimerService timers = new SchedulerTimerService(scheduler);
            MetricRegistry metrics = new MetricRegistry();
            ClaimLimits limits =
                    new ClaimLimits(SHARDS, Duration.ofMillis(20), Duration.ofSeconds(2), Duration.ofMillis(500), 24);
            committer =
                    new ClaimCommitter(tables, timers, SHARDS, limits.batchInterval(), limits.expiryHours(), metrics);
            router = new ClaimRouter(
                    committer, ClaimFleet.this::deliver, ClaimFleet.this::members, self, timers, SHARDS);
            service = new ClaimService(router, objects, ClaimFleet.this::members, self, timers, limits, metrics);
            service.start();
        }

        Single<ClaimMessages.Results> accept(ClaimMessages.Operations message) {
            return alive ? router.accept(message) : timedOut();
        }

        /** Ends the process: nothing that it holds in memory takes effect any more. */
        void kill() {
            alive = false;
            service.stop();
            router.stop();
            committer.stop();
        }
    }
}
