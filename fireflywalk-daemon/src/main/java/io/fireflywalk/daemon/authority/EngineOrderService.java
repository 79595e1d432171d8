package io.fireflywalk.daemon.authority;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.order.EngineAssignment;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderContext;
import io.fireflywalk.core.order.EngineOrderIntent;
import io.fireflywalk.core.order.EngineOrderIntent.Status;
import io.fireflywalk.core.order.EngineOrderResponse;
import io.fireflywalk.core.order.EngineOrderRules;
import io.fireflywalk.core.order.EngineState;
import io.fireflywalk.core.order.OrderSender;
import io.fireflywalk.daemon.authority.RecordTable.Versioned;
import io.fireflywalk.services.order.EngineOrderClient;
import io.fireflywalk.services.order.TargetProvisioner;
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
 * Sends orders to the engines of the pools that this process holds. The intent is stored before the first send, at most
 * one order per engine is pending, and pending orders of earlier holders are settled first. Confined to one event loop.
 */
public final class EngineOrderService {
    private static final Logger LOG = Logger.getLogger(EngineOrderService.class);
    private static final String TABLE = "engine-order";

    private final String incarnation;
    private final AuthorityService authorities;
    private final RecordTable<EngineOrderIntent> intents;
    private final EngineOrderClient client;
    private final TargetProvisioner provisioner;
    private final TimerService timers;
    private final OrderSettings settings;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final TerminatedInstances terminatedInstances;
    private final JitteredLoop loop;
    private final Map<String, TrackedEngine> pending = new LinkedHashMap<>();
    private final Map<String, OrderSendTracker> sendTrackers = new HashMap<>();
    private long submissions;

    public EngineOrderService(
            String incarnation,
            AuthorityService authorities,
            TableService tables,
            EngineOrderClient client,
            TargetProvisioner provisioner,
            TimerService timers,
            OrderSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.incarnation = incarnation;
        this.authorities = authorities;
        this.intents = new RecordTable<>(tables, TABLE, EngineOrderIntent.class);
        this.client = client;
        this.provisioner = provisioner;
        this.timers = timers;
        this.settings = settings;
        this.random = random;
        this.metrics = metrics;
        this.terminatedInstances = new TerminatedInstances(timers, settings.deliveryBound());
        this.loop = new JitteredLoop(
                "engine_orders",
                timers,
                random,
                metrics,
                settings.roundPeriod(),
                settings.roundDeadline(),
                () -> advancePending());
    }

    /** Starts the periodic processing of pending orders. */
    public void start() {
        loop.start();
    }

    /** Stops the periodic processing of pending orders. */
    public void stop() {
        loop.stop();
    }

    /** Loads the pending orders of a pool that this process has just acquired and starts processing them. */
    public Completable resumePending(LeaseUnit pool, Supplier<List<Target>> engines) {
        return intents.scan(pool.name() + "/")
                .doOnSuccess(stored -> stored.stream()
                        .filter(intent -> intent.status() == Status.PENDING)
                        .forEach(intent -> engines.get().stream()
                                .filter(engine -> engine.name().equals(intent.engine()))
                                .forEach(engine -> track(pool, engine))))
                .ignoreElement();
    }

    /**
     * Stores the intent of a new order and starts processing it. Fails with {@code ORDER_PENDING} while an earlier
     * order of the engine is not settled, and processes that one instead. After any other failure the intent may have
     * been stored; in that case it is processed too.
     */
    public Single<EngineOrderIntent> submit(Authority authority, Target engine, EngineAssignment assignment) {
        String key = key(authority.unit(), engine);
        // An earlier write of unknown outcome could still store an intent that this process no longer tracks.
        return intents.resolveUnknownWrites().andThen(intents.read(key)).flatMap(row -> {
            track(authority.unit(), engine);
            if (row.value()
                    .filter(stored -> stored.status() != Status.EFFECTIVE && stored.status() != Status.WITHOUT_EFFECT)
                    .isPresent()) {
                return Single.error(new FireflywalkException(
                        ErrorKind.ORDER_PENDING, "an earlier order of the engine is not settled", engine.name()));
            }
            if (!authorities.isHeld(authority)) {
                return Single.error(new FireflywalkException(
                        ErrorKind.AUTHORITY_LOST,
                        "lease lost before the order intent was stored",
                        authority.unit().key()));
            }
            // A barrier uses its order's generation + 1, so the next order is two above the last.
            long generation = row.value().map(EngineOrderIntent::generation).orElse(0L) + 2;
            EngineOrderIntent intent = EngineOrderIntent.pending(
                    engine.name(),
                    "order-" + Long.toHexString(random.nextLong()) + "-" + generation,
                    generation,
                    assignment,
                    new OrderSender(incarnation, authority.token(), false));
            return intents.write(key, row.version(), intent)
                    .doOnComplete(loop::trigger)
                    .toSingleDefault(intent);
        });
    }

    /** Returns the engines of a pool that must not get new requests according to the stored intents. */
    public Single<Set<String>> outOfRotation(LeaseUnit pool) {
        return intents.scan(pool.name() + "/")
                .map(stored -> Set.copyOf(stored.stream()
                        .filter(intent -> !intent.inRotation())
                        .map(EngineOrderIntent::engine)
                        .toList()));
    }

    /** Returns the latest order of an engine. */
    public Single<Optional<EngineOrderIntent>> latest(LeaseUnit pool, Target engine) {
        return intents.read(key(pool, engine)).map(Versioned::value);
    }

    private Completable advancePending() {
        if (pending.isEmpty()) {
            return Completable.complete();
        }
        boolean needsTerminated = pending.values().stream()
                .anyMatch(tracked -> tracked.engine().orderChecking() == OrderChecking.IGNORES_FENCING_TOKEN);
        Single<Set<String>> terminated = needsTerminated
                ? provisioner.instances().map(terminatedInstances::update).onErrorReturnItem(Set.of())
                : Single.just(Set.of());
        // An order that is submitted from now on may have a write that is not waited for below.
        List<TrackedEngine> engines = List.copyOf(pending.values());
        return intents.resolveUnknownWrites()
                .andThen(terminated)
                .flatMapCompletable(terminatedIncarnations -> Flowable.fromIterable(engines)
                        .flatMapCompletable(tracked -> advance(tracked, terminatedIncarnations)
                                .doOnError(cause -> LOG.warnf(
                                        "event=order_round_failed engine=%s cause=%s",
                                        tracked.engine().name(), cause))
                                .onErrorComplete()));
    }

    private Completable advance(TrackedEngine tracked, Set<String> terminatedIncarnations) {
        return intents.read(tracked.key()).flatMapCompletable(row -> {
            if (row.value().isEmpty() || row.value().get().status() != Status.PENDING) {
                if (pending.remove(tracked.key(), tracked)) {
                    sendTrackers.remove(tracked.key());
                }
                return Completable.complete();
            }
            EngineOrderIntent intent = row.value().get();
            OrderSendTracker sendTracker = sendTrackerFor(tracked.key(), intent);
            Optional<Authority> authority = authorities.findAuthority(tracked.pool());
            if (authority.isEmpty()) {
                return closeAfterLeaseLoss(tracked, row.version(), intent, sendTracker);
            }
            boolean drained = sendTracker.isDrained(settings.deliveryBound());
            return client.state(tracked.engine())
                    .map(Optional::of)
                    .onErrorReturnItem(Optional.empty())
                    .flatMapCompletable(state -> {
                        EngineOrderContext context =
                                context(tracked, authority.get(), sendTracker, drained, terminatedIncarnations, state);
                        return executeStep(tracked, authority.get(), row.version(), intent, sendTracker, context);
                    });
        });
    }

    private EngineOrderContext context(
            TrackedEngine tracked,
            Authority authority,
            OrderSendTracker sendTracker,
            boolean drained,
            Set<String> terminatedIncarnations,
            Optional<EngineState> state) {
        return new EngineOrderContext(
                tracked.engine().orderChecking(),
                incarnation,
                authority.token(),
                state,
                sendTracker.acceptedIncarnation(authority.token()),
                sendTracker.barrierIncarnation(authority.token()),
                drained,
                terminatedIncarnations,
                sendTracker.isOlderThan(settings.replacementLimit()));
    }

    private Completable executeStep(
            TrackedEngine tracked,
            Authority authority,
            long version,
            EngineOrderIntent intent,
            OrderSendTracker sendTracker,
            EngineOrderContext context) {
        EngineOrderRules.Step step = EngineOrderRules.next(intent, context);
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
                        .andThen(send(tracked, authority, sendTracker, order(joined, authority, context, false)));
            }
            case SEND -> send(tracked, authority, sendTracker, order(intent, authority, context, false));
            case SEND_BARRIER -> send(tracked, authority, sendTracker, order(intent, authority, context, true));
            case CLOSE -> intents.write(key, version, intent.closedBy(incarnation));
            case RETURN_TO_ROTATION -> intents.write(key, version, intent.returnedToRotation());
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

    private EngineOrder order(
            EngineOrderIntent intent, Authority authority, EngineOrderContext context, boolean barrier) {
        return new EngineOrder(
                barrier ? intent.orderId() + "-barrier" : intent.orderId(),
                barrier ? intent.generation() + 1 : intent.generation(),
                authority.token(),
                incarnation,
                context.state().map(EngineState::incarnation).orElse(""),
                barrier ? Optional.empty() : Optional.of(intent.assignment()));
    }

    private Completable send(
            TrackedEngine tracked, Authority authority, OrderSendTracker sendTracker, EngineOrder order) {
        return authorities
                .send(authority, () -> {
                    sendTracker.sendStarted();
                    Single<EngineOrderResponse> response = client.send(tracked.engine(), order);
                    return response.doOnSuccess(result -> sendTracker.responseReceived(order, result))
                            .doOnError(ignored -> sendTracker.sendFailed());
                })
                .ignoreElement();
    }

    /** Records that this process will not send the order again, so that the next lease holder can settle it. */
    private Completable closeAfterLeaseLoss(
            TrackedEngine tracked, long version, EngineOrderIntent intent, OrderSendTracker sendTracker) {
        boolean hasOpenSender = intent.senders().stream()
                .anyMatch(sender -> sender.incarnation().equals(incarnation) && !sender.closed());
        if (!hasOpenSender) {
            pending.remove(tracked.key(), tracked);
            return Completable.complete();
        }
        return sendTracker.isDrained(settings.deliveryBound())
                ? intents.write(tracked.key(), version, intent.closedBy(incarnation))
                : Completable.complete();
    }

    private OrderSendTracker sendTrackerFor(String key, EngineOrderIntent intent) {
        OrderSendTracker current = sendTrackers.get(key);
        if (current == null || !current.orderId().equals(intent.orderId())) {
            current = new OrderSendTracker(timers, intent.orderId());
            sendTrackers.put(key, current);
        }
        return current;
    }

    private void track(LeaseUnit pool, Target engine) {
        submissions++;
        pending.put(key(pool, engine), new TrackedEngine(key(pool, engine), pool, engine, submissions));
    }

    private static String key(LeaseUnit pool, Target engine) {
        return pool.name() + "/" + engine.name();
    }

    /**
     * Engine whose order is processed.
     *
     * @param submission differs for each submission, so that a row that was read before one does not end its processing
     */
    private record TrackedEngine(String key, LeaseUnit pool, Target engine, long submission) {}
}
