package io.fireflywalk.daemon.authority;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderIntent;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.fireflywalk.services.order.TargetPlatform;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Orders to the platform for the availability zones that this process holds. An intent is durable before its first send;
 * an unknown outcome is read back by id; a pending intent of an earlier holder is driven to its end under the same id
 * before anything else. Confined to one event loop.
 */
public final class TargetOrderService {
    private static final Logger LOG = Logger.getLogger(TargetOrderService.class);
    private static final String TABLE = "target-order";

    private final String incarnation;
    private final AuthorityService authorities;
    private final RecordTable<TargetOrderIntent> intents;
    private final TargetPlatform platform;
    private final MetricRegistry metrics;
    private final JitteredLoop loop;
    private final Set<LeaseUnit> pending = new LinkedHashSet<>();

    public TargetOrderService(
            String incarnation,
            AuthorityService authorities,
            TableService tables,
            TargetPlatform platform,
            TimerService timers,
            OrderSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.incarnation = incarnation;
        this.authorities = authorities;
        this.intents = new RecordTable<>(tables, TABLE, TargetOrderIntent.class);
        this.platform = platform;
        this.metrics = metrics;
        this.loop = new JitteredLoop(
                "target_orders",
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

    /** Drives the pending order of an availability zone that this process has just acquired, if there is one. */
    public void adopt(LeaseUnit zone) {
        pending.add(zone);
        loop.hasten();
    }

    /**
     * Records a new order and begins to drive it. Fails with {@code ORDER_PENDING} while an earlier order of the
     * availability zone has not ended; that one is driven then. After another failure the intent may be durable; it is
     * driven if so.
     */
    public Completable submit(Authority authority, TargetOrder order) {
        String key = authority.unit().name();
        return intents.resolve().andThen(intents.read(key)).flatMapCompletable(row -> {
            pending.add(authority.unit());
            if (row.value().filter(TargetOrderIntent::awaitsOutcome).isPresent()) {
                return Completable.error(new FireflywalkException(
                        ErrorKind.ORDER_PENDING,
                        "an earlier order has not ended",
                        authority.unit().key()));
            }
            if (!authorities.isHeld(authority)) {
                return Completable.error(new FireflywalkException(
                        ErrorKind.AUTHORITY_LOST,
                        "lost before the intent",
                        authority.unit().key()));
            }
            TargetOrderIntent intent = new TargetOrderIntent(order, authority.token(), incarnation, Optional.empty());
            return intents.write(key, row.version(), intent).doOnComplete(loop::hasten);
        });
    }

    /** Returns the latest order of an availability zone. */
    public Single<Optional<TargetOrderIntent>> latest(LeaseUnit zone) {
        return intents.read(zone.name()).map(RecordTable.Versioned::value);
    }

    private Completable driveAll() {
        return Flowable.fromIterable(List.copyOf(pending))
                .flatMapCompletable(zone -> drive(zone)
                        .doOnError(cause -> LOG.warnf("event=order_round_failed unit=%s cause=%s", zone.key(), cause))
                        .onErrorComplete());
    }

    private Completable drive(LeaseUnit zone) {
        Optional<Authority> authority = authorities.held(zone);
        if (authority.isEmpty()) {
            pending.remove(zone);
            return Completable.complete();
        }
        return intents.read(zone.name()).flatMapCompletable(row -> {
            if (row.value().filter(TargetOrderIntent::awaitsOutcome).isEmpty()) {
                pending.remove(zone);
                return Completable.complete();
            }
            TargetOrderIntent intent = row.value().get();
            boolean own =
                    intent.token() == authority.get().token() && intent.sender().equals(incarnation);
            if (own) {
                return finish(authority.get(), row.version(), intent);
            }
            TargetOrderIntent taken =
                    intent.takenOverBy(incarnation, authority.get().token());
            return intents.write(zone.name(), row.version(), taken)
                    .andThen(finish(authority.get(), row.version() + 1, taken));
        });
    }

    /** Reads the order back by its identifier and sends it only if the platform does not know it. */
    private Completable finish(Authority authority, long version, TargetOrderIntent intent) {
        String orderId = intent.order().id();
        Single<TargetOrderOutcome> outcome = platform.find(orderId)
                .flatMap(found -> found.map(Single::just)
                        .orElseGet(() -> authorities.send(authority, () -> platform.execute(intent.order()))));
        return outcome.flatMapCompletable(result -> {
            LOG.infof(
                    "event=target_order unit=%s order=%s token=%d executed=%b targets=%d",
                    authority.unit().key(),
                    orderId,
                    authority.token(),
                    result.executed(),
                    result.targets().size());
            metrics.meter("target_orders_finished").mark();
            return intents.write(authority.unit().name(), version, intent.finished(result));
        });
    }
}
