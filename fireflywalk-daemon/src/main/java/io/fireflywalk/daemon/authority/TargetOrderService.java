package io.fireflywalk.daemon.authority;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderIntent;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.fireflywalk.services.order.TargetProvisioner;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Sends orders to the platform for the availability zones that this process holds. The intent is stored before the
 * first send, and an unknown outcome is looked up by order id. A pending intent of an earlier holder is completed under
 * the same id before a new order is accepted. Confined to one event loop.
 */
public final class TargetOrderService {
    private static final Logger LOG = Logger.getLogger(TargetOrderService.class);
    private static final String TABLE = "target-order";

    private final String incarnation;
    private final AuthorityService authorities;
    private final RecordTable<TargetOrderIntent> intents;
    private final TargetProvisioner provisioner;
    private final MetricRegistry metrics;
    private final JitteredLoop loop;
    /** Zones whose order is processed, with the submission since which it is. */
    private final Map<LeaseUnit, Long> pending = new LinkedHashMap<>();

    private long submissions;

    public TargetOrderService(
            String incarnation,
            AuthorityService authorities,
            TableService tables,
            TargetProvisioner provisioner,
            TimerService timers,
            OrderSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.incarnation = incarnation;
        this.authorities = authorities;
        this.intents = new RecordTable<>(tables, TABLE, TargetOrderIntent.class);
        this.provisioner = provisioner;
        this.metrics = metrics;
        this.loop = new JitteredLoop(
                "target_orders",
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

    /** Starts processing the pending order, if any, of an availability zone that this process has just acquired. */
    public void resumePending(LeaseUnit zone) {
        track(zone);
        loop.trigger();
    }

    /**
     * Stores the intent of a new order and starts processing it. Fails with {@code ORDER_PENDING} while an earlier
     * order of the availability zone has no outcome, and processes that one instead. After any other failure the intent
     * may have been stored; in that case it is processed too.
     */
    public Completable submit(Authority authority, TargetOrder order) {
        String key = authority.unit().name();
        return intents.resolveUnknownWrites().andThen(intents.read(key)).flatMapCompletable(row -> {
            track(authority.unit());
            if (row.value().filter(TargetOrderIntent::awaitsOutcome).isPresent()) {
                return Completable.error(new FireflywalkException(
                        ErrorKind.ORDER_PENDING,
                        "an earlier order of the availability zone has no outcome yet",
                        authority.unit().key()));
            }
            if (!authorities.isHeld(authority)) {
                return Completable.error(new FireflywalkException(
                        ErrorKind.AUTHORITY_LOST,
                        "lease lost before the order intent was stored",
                        authority.unit().key()));
            }
            TargetOrderIntent intent = new TargetOrderIntent(order, authority.token(), incarnation, Optional.empty());
            return intents.write(key, row.version(), intent).doOnComplete(loop::trigger);
        });
    }

    /** Returns the latest order of an availability zone. */
    public Single<Optional<TargetOrderIntent>> latest(LeaseUnit zone) {
        return intents.read(zone.name()).map(RecordTable.Versioned::value);
    }

    private Completable advancePending() {
        if (pending.isEmpty()) {
            return Completable.complete();
        }
        // An order that is submitted from now on may have a write that is not waited for below.
        Map<LeaseUnit, Long> zones = new LinkedHashMap<>(pending);
        return intents.resolveUnknownWrites()
                .andThen(Flowable.fromIterable(zones.entrySet()))
                .flatMapCompletable(entry -> advance(entry.getKey(), entry.getValue())
                        .doOnError(cause -> LOG.warnf(
                                "event=order_round_failed unit=%s cause=%s",
                                entry.getKey().key(), cause))
                        .onErrorComplete());
    }

    private void track(LeaseUnit zone) {
        submissions++;
        pending.put(zone, submissions);
    }

    /** Executes the order of a zone, or stops processing the zone unless there was another submission. */
    private Completable advance(LeaseUnit zone, long submission) {
        Optional<Authority> authority = authorities.findAuthority(zone);
        if (authority.isEmpty()) {
            pending.remove(zone, submission);
            return Completable.complete();
        }
        return intents.read(zone.name()).flatMapCompletable(row -> {
            if (row.value().filter(TargetOrderIntent::awaitsOutcome).isEmpty()) {
                pending.remove(zone, submission);
                return Completable.complete();
            }
            TargetOrderIntent intent = row.value().get();
            boolean sentUnderThisLease =
                    intent.token() == authority.get().token() && intent.sender().equals(incarnation);
            if (sentUnderThisLease) {
                return executeOnce(authority.get(), row.version(), intent);
            }
            TargetOrderIntent takenOver =
                    intent.takenOverBy(incarnation, authority.get().token());
            return intents.write(zone.name(), row.version(), takenOver)
                    .andThen(executeOnce(authority.get(), row.version() + 1, takenOver));
        });
    }

    /** Looks the order up by its identifier and sends it only if the platform does not know it. */
    private Completable executeOnce(Authority authority, long version, TargetOrderIntent intent) {
        String orderId = intent.order().id();
        Single<TargetOrderOutcome> outcome = provisioner
                .find(orderId)
                .flatMap(known -> known.map(Single::just)
                        .orElseGet(() -> authorities.send(authority, () -> provisioner.execute(intent.order()))));
        return outcome.flatMapCompletable(result -> {
            LOG.infof(
                    "event=target_order unit=%s order=%s token=%d executed=%b targets=%d",
                    authority.unit().key(),
                    orderId,
                    authority.token(),
                    result.executed(),
                    result.targets().size());
            metrics.meter("target_orders_finished").mark();
            return intents.write(authority.unit().name(), version, intent.withOutcome(result));
        });
    }
}
