package io.fireflywalk.daemon.authority;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.order.EngineAssignment;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderAnswer;
import io.fireflywalk.core.order.EngineOrderFacts;
import io.fireflywalk.core.order.EngineOrderIntent;
import io.fireflywalk.core.order.EngineOrderIntent.Status;
import io.fireflywalk.core.order.EngineOrderRules;
import io.fireflywalk.core.order.EngineState;
import io.fireflywalk.core.order.OrderSender;
import io.fireflywalk.daemon.authority.RecordTable.Versioned;
import io.fireflywalk.services.order.EngineOrderClient;
import io.fireflywalk.services.order.TargetPlatform;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Orders to the engines of the pools that this process holds. An intent is durable before the first send, one order per
 * engine is pending, and pending orders of earlier holders are driven to their end first. Confined to one event loop.
 */
public final class EngineOrderService {
    private static final Logger LOG = Logger.getLogger(EngineOrderService.class);
    private static final String TABLE = "engine-order";

    private final String incarnation;
    private final AuthorityService authorities;
    private final RecordTable<EngineOrderIntent> intents;
    private final EngineOrderClient client;
    private final TargetPlatform platform;
    private final TimerService timers;
    private final OrderSettings settings;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final EndedInstances ended;
    private final JitteredLoop loop;
    private final Map<String, Tracked> pending = new LinkedHashMap<>();
    private final Map<String, OwnSends> sends = new HashMap<>();

    public EngineOrderService(
            String incarnation,
            AuthorityService authorities,
            TableService tables,
            EngineOrderClient client,
            TargetPlatform platform,
            TimerService timers,
            OrderSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.incarnation = incarnation;
        this.authorities = authorities;
        this.intents = new RecordTable<>(tables, TABLE, EngineOrderIntent.class);
        this.client = client;
        this.platform = platform;
        this.timers = timers;
        this.settings = settings;
        this.random = random;
        this.metrics = metrics;
        this.ended = new EndedInstances(timers, settings.deliveryBound());
        this.loop = new JitteredLoop(
                "engine_orders",
                timers,
                random,
                metrics,
                settings.drivePeriod(),
                settings.roundDeadline(),
                () -> driveAll());
    }

    /** Starts to drive pending orders. */
    public void start() {
        loop.start();
    }

    /** Stops to drive pending orders. */
    public void stop() {
        loop.stop();
    }

    /** Begins to drive the pending orders of a pool that this process has just acquired. */
    public Completable adopt(LeaseUnit pool, Supplier<List<Target>> engines) {
        return intents.scan(pool.name() + "/")
                .doOnSuccess(found -> found.stream()
                        .filter(intent -> intent.status() == Status.PENDING)
                        .forEach(intent -> engines.get().stream()
                                .filter(engine -> engine.name().equals(intent.engine()))
                                .forEach(engine -> track(pool, engine))))
                .ignoreElement();
    }

    /**
     * Records a new order and begins to drive it. Fails with {@code ORDER_PENDING} while an earlier order of the engine
     * is not settled; that one is driven then. After another failure the intent may be durable; it is driven if so.
     */
    public Single<EngineOrderIntent> submit(Authority authority, Target engine, EngineAssignment assignment) {
        String key = key(authority.unit(), engine);
        // A write of unknown outcome could put an intent into the table that this process has ceased to track.
        return intents.resolve().andThen(intents.read(key)).flatMap(row -> {
            track(authority.unit(), engine);
            if (row.value()
                    .filter(found -> found.status() != Status.EFFECTIVE && found.status() != Status.WITHOUT_EFFECT)
                    .isPresent()) {
                return Single.error(new FireflywalkException(
                        ErrorKind.ORDER_PENDING, "an earlier order is not settled", engine.name()));
            }
            if (!authorities.isHeld(authority)) {
                return Single.error(new FireflywalkException(
                        ErrorKind.AUTHORITY_LOST,
                        "lost before the intent",
                        authority.unit().key()));
            }
            // Barriers have the generation after their order's, so the next order is two above the last.
            long generation = row.value().map(EngineOrderIntent::generation).orElse(0L) + 2;
            EngineOrderIntent intent = EngineOrderIntent.pending(
                    engine.name(),
                    "order-" + Long.toHexString(random.nextLong()) + "-" + generation,
                    generation,
                    assignment,
                    new OrderSender(incarnation, authority.token(), false));
            return intents.write(key, row.version(), intent)
                    .doOnComplete(loop::hasten)
                    .toSingleDefault(intent);
        });
    }

    /** Returns the engines of a pool that must not get new requests, as the durable intents say. */
    public Single<Set<String>> outOfRotation(LeaseUnit pool) {
        return intents.scan(pool.name() + "/")
                .map(found -> Set.copyOf(found.stream()
                        .filter(intent -> !intent.inRotation())
                        .map(EngineOrderIntent::engine)
                        .toList()));
    }

    /** Returns the latest order of an engine. */
    public Single<Optional<EngineOrderIntent>> latest(LeaseUnit pool, Target engine) {
        return intents.read(key(pool, engine)).map(Versioned::value);
    }

    private Completable driveAll() {
        if (pending.isEmpty()) {
            return Completable.complete();
        }
        boolean needsProof = pending.values().stream()
                .anyMatch(tracked -> tracked.engine().orderChecking() == OrderChecking.IGNORES_FENCING_TOKEN);
        Single<Set<String>> proof = needsProof
                ? platform.instances().map(ended::update).onErrorReturnItem(Set.of())
                : Single.just(Set.of());
        return intents.resolve()
                .andThen(proof)
                .flatMapCompletable(endedInstances -> Flowable.fromIterable(List.copyOf(pending.values()))
                        .flatMapCompletable(tracked -> drive(tracked, endedInstances)
                                .doOnError(cause -> LOG.warnf(
                                        "event=order_round_failed engine=%s cause=%s",
                                        tracked.engine().name(), cause))
                                .onErrorComplete()));
    }

    private Completable drive(Tracked tracked, Set<String> endedInstances) {
        return intents.read(tracked.key()).flatMapCompletable(row -> {
            if (row.value().isEmpty() || row.value().get().status() != Status.PENDING) {
                pending.remove(tracked.key());
                sends.remove(tracked.key());
                return Completable.complete();
            }
            EngineOrderIntent intent = row.value().get();
            OwnSends own = ownSends(tracked.key(), intent);
            Optional<Authority> authority = authorities.held(tracked.pool());
            if (authority.isEmpty()) {
                return closeWithoutAuthority(tracked, row.version(), intent, own);
            }
            boolean quiet = own.isQuiet(settings.deliveryBound());
            return client.state(tracked.engine())
                    .map(Optional::of)
                    .onErrorReturnItem(Optional.empty())
                    .flatMapCompletable(state -> {
                        EngineOrderFacts facts = facts(tracked, authority.get(), own, quiet, endedInstances, state);
                        return act(tracked, authority.get(), row.version(), intent, own, facts);
                    });
        });
    }

    private EngineOrderFacts facts(
            Tracked tracked,
            Authority authority,
            OwnSends own,
            boolean quiet,
            Set<String> endedInstances,
            Optional<EngineState> state) {
        return new EngineOrderFacts(
                tracked.engine().orderChecking(),
                incarnation,
                authority.token(),
                state,
                own.acceptedIncarnation(authority.token()),
                own.barrierIncarnation(authority.token()),
                quiet,
                endedInstances,
                own.isOlderThan(settings.replacementLimit()));
    }

    private Completable act(
            Tracked tracked,
            Authority authority,
            long version,
            EngineOrderIntent intent,
            OwnSends own,
            EngineOrderFacts facts) {
        EngineOrderRules.Step step = EngineOrderRules.next(intent, facts);
        LOG.logf(
                step == EngineOrderRules.Step.WAIT ? Logger.Level.DEBUG : Logger.Level.INFO,
                "event=engine_order engine=%s order=%s generation=%d token=%d step=%s",
                intent.engine(),
                intent.orderId(),
                intent.generation(),
                authority.token(),
                step);
        String key = tracked.key();
        return switch (step) {
            case WAIT -> Completable.complete();
            case JOIN_AND_SEND -> {
                EngineOrderIntent joined = intent.withSender(incarnation, authority.token());
                yield intents.write(key, version, joined)
                        .andThen(send(tracked, authority, own, order(joined, authority, facts, false)));
            }
            case SEND -> send(tracked, authority, own, order(intent, authority, facts, false));
            case SEND_BARRIER -> send(tracked, authority, own, order(intent, authority, facts, true));
            case CLOSE -> intents.write(key, version, intent.closedBy(incarnation));
            case RETURN_TO_ROTATION -> intents.write(key, version, intent.backInRotation());
            case SETTLE_EFFECTIVE -> settle(key, version, intent, Status.EFFECTIVE);
            case SETTLE_WITHOUT_EFFECT -> settle(key, version, intent, Status.WITHOUT_EFFECT);
            case REPLACE -> settle(key, version, intent, Status.REPLACE_ENGINE);
        };
    }

    private Completable settle(String key, long version, EngineOrderIntent intent, Status status) {
        metrics.meter("engine_orders_" + status.name().toLowerCase(java.util.Locale.ROOT))
                .mark();
        return intents.write(key, version, intent.settled(status));
    }

    private EngineOrder order(EngineOrderIntent intent, Authority authority, EngineOrderFacts facts, boolean barrier) {
        return new EngineOrder(
                barrier ? intent.orderId() + "-barrier" : intent.orderId(),
                barrier ? intent.generation() + 1 : intent.generation(),
                authority.token(),
                incarnation,
                facts.state().map(EngineState::incarnation).orElse(""),
                barrier ? Optional.empty() : Optional.of(intent.assignment()));
    }

    private Completable send(Tracked tracked, Authority authority, OwnSends own, EngineOrder order) {
        return authorities
                .send(authority, () -> {
                    own.started();
                    Single<EngineOrderAnswer> answer = client.send(tracked.engine(), order);
                    return answer.doOnSuccess(result -> own.answered(order, result))
                            .doOnError(ignored -> own.unanswered());
                })
                .ignoreElement();
    }

    /** Records that this process will send no more, so that its successor can settle the order. */
    private Completable closeWithoutAuthority(Tracked tracked, long version, EngineOrderIntent intent, OwnSends own) {
        boolean open = intent.senders().stream()
                .anyMatch(sender -> sender.incarnation().equals(incarnation) && !sender.closed());
        if (!open) {
            pending.remove(tracked.key());
            return Completable.complete();
        }
        return own.isQuiet(settings.deliveryBound())
                ? intents.write(tracked.key(), version, intent.closedBy(incarnation))
                : Completable.complete();
    }

    private OwnSends ownSends(String key, EngineOrderIntent intent) {
        OwnSends known = sends.get(key);
        if (known == null || !known.orderId().equals(intent.orderId())) {
            known = new OwnSends(timers, intent.orderId());
            sends.put(key, known);
        }
        return known;
    }

    private void track(LeaseUnit pool, Target engine) {
        pending.put(key(pool, engine), new Tracked(key(pool, engine), pool, engine));
    }

    private static String key(LeaseUnit pool, Target engine) {
        return pool.name() + "/" + engine.name();
    }

    private record Tracked(String key, LeaseUnit pool, Target engine) {}
}
