package io.fireflywalk.daemon.claim;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.claim.StoredResponse;
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

/** Simulated instances that execute claimed requests on one target, with faults of store, peers and instances. */
final class ClaimFleet {
    private static final int SHARDS = 2;

    final TestScheduler scheduler = new TestScheduler();
    final FaultyTableService tables;
    final InMemoryObjectStore objects = new InMemoryObjectStore();
    final List<Instance> instances = new ArrayList<>();
    /** Number of executions at the target by key and request. */
    final Map<String, Integer> executions = new HashMap<>();

    final List<CallOutcome> outcomes = new ArrayList<>();
    final Random random;
    int messageLossPercent;
    private int startedInstances;

    ClaimFleet(long seed, int size) {
        this.random = new Random(seed);
        this.tables = new FaultyTableService(new InMemoryTableService(), scheduler, seed + 1);
        for (int i = 0; i < size; i++) {
            startInstance();
        }
    }

    void startInstance() {
        instances.add(new Instance(startedInstances++));
    }

    List<Instance> liveInstances() {
        return instances.stream().filter(instance -> instance.alive).toList();
    }

    /** Sends a request to the instance; it takes time and may fail before or after the target executes it. */
    void call(Instance instance, String key, String request, RunState failure) {
        int executionsBefore = executions.getOrDefault(key + request, 0);
        Disposable unused = instance.service
                .claimBeforeFirstAttempt("county", key, request)
                .subscribe(
                        decision -> handleDecision(instance, key, request, failure, decision),
                        cause -> outcomes.add(new CallOutcome(
                                key,
                                request,
                                Optional.of((FireflywalkException) cause),
                                Optional.empty(),
                                executionsBefore,
                                executions.getOrDefault(key + request, 0))));
    }

    private void handleDecision(
            Instance instance, String key, String request, RunState failure, ClaimDecision decision) {
        if (decision.storedResponse().isPresent()) {
            int executionCount = executions.getOrDefault(key + request, 0);
            outcomes.add(new CallOutcome(
                    key,
                    request,
                    Optional.empty(),
                    Optional.of(responseText(decision)),
                    executionCount,
                    executionCount));
            return;
        }
        if (!instance.alive) {
            return;
        }
        ClaimedExchange exchange =
                new ClaimedExchange(instance.service, decision.granted().orElseThrow());
        if (failure == RunState.NOT_RUN) {
            Disposable unused = exchange.storeFailure(RunState.NOT_RUN).subscribe();
            return;
        }
        // The request has been sent, so the target executes it even if the instance dies.
        scheduler.scheduleDirect(
                () -> {
                    executions.merge(key + request, 1, Integer::sum);
                    if (!instance.alive) {
                        return;
                    }
                    if (failure == RunState.UNKNOWN) {
                        Disposable unused =
                                exchange.storeFailure(RunState.UNKNOWN).subscribe();
                        return;
                    }
                    exchange.responseStarted(200, MultiMap.caseInsensitiveMultiMap());
                    exchange.responseChunk(Buffer.buffer(responseTo(key, request)));
                    Disposable unused = exchange.storeResponse().subscribe();
                },
                random.nextInt(1500),
                TimeUnit.MILLISECONDS);
    }

    static String responseTo(String key, String request) {
        // The response to request b is too large for the row and goes to the object store.
        return (request + key).repeat(request.equals("b") ? ClaimLimits.INLINE_BODY_BYTES : 1);
    }

    private static String responseText(ClaimDecision decision) {
        List<StoredResponse.Header> headers =
                decision.storedResponse().orElseThrow().headers();
        return headers.isEmpty() ? decision.storedResponse().get().body().toString() : headers.toString();
    }

    private List<Member> members() {
        return liveInstances().stream().map(instance -> instance.member).toList();
    }

    private Single<ClaimMessages.Results> deliver(Member recipientMember, ClaimMessages.Operations message) {
        Instance recipient = instances.stream()
                .filter(instance -> instance.member.equals(recipientMember))
                .findFirst()
                .orElseThrow();
        if (random.nextInt(100) < messageLossPercent) {
            if (random.nextBoolean()) {
                // The message arrives late and twice, and the response is lost.
                for (int i = 0; i < 2; i++) {
                    scheduler.scheduleDirect(
                            () -> recipient.accept(message), random.nextInt(8_000), TimeUnit.MILLISECONDS);
                }
            }
            return timeOut();
        }
        return Single.timer(1, TimeUnit.MILLISECONDS, scheduler).flatMap(tick -> recipient.accept(message));
    }

    private Single<ClaimMessages.Results> timeOut() {
        return Single.timer(1, TimeUnit.SECONDS, scheduler)
                .flatMap(tick -> Single.error(new IllegalStateException("no response")));
    }

    /** Result that a caller received, with the number of executions before the call and when the result arrived. */
    record CallOutcome(
            String key,
            String request,
            Optional<FireflywalkException> error,
            Optional<String> response,
            int executionsBefore,
            int executionsAfter) {}

    final class Instance {
        final Member member;
        final ClaimService service;
        final ClaimRouter router;
        final ClaimCommitter committer;
        boolean alive = true;

        Instance(int number) {
            member = new Member("i" + number, "i" + number, "region", "zone-" + number % 3, "127.0.0.1", 1);
            SchedulerTimerService timers = new SchedulerTimerService(scheduler);
            MetricRegistry metrics = new MetricRegistry();
            ClaimLimits limits =
                    new ClaimLimits(SHARDS, Duration.ofMillis(20), Duration.ofSeconds(2), Duration.ofMillis(500), 24);
            committer =
                    new ClaimCommitter(tables, timers, SHARDS, limits.batchInterval(), limits.expiryHours(), metrics);
            router = new ClaimRouter(
                    committer, ClaimFleet.this::deliver, ClaimFleet.this::members, member, timers, SHARDS);
            service = new ClaimService(router, objects, ClaimFleet.this::members, member, timers, limits, metrics);
            service.start();
        }

        Single<ClaimMessages.Results> accept(ClaimMessages.Operations message) {
            return alive ? router.accept(message) : timeOut();
        }

        /** Simulates the end of the process: nothing that it holds in memory takes effect any more. */
        void kill() {
            alive = false;
            service.stop();
            router.stop();
            committer.stop();
        }
    }
}
