package io.fireflywalk.daemon.ingress;

import io.fireflywalk.daemon.ingress.FleetStore.CallLimit;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.daemon.ingress.FleetStore.RowChanges;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Keeps a listener informed of a table: reads all rows once, then follows the changes, and reads all rows again when the
 * store has dropped the history in between. Confined to one event loop.
 */
final class TableFollower {
    private static final Logger LOG = Logger.getLogger(TableFollower.class);
    private static final int PAGE_ROWS = 500;
    /** Single calls that fail are no outage: entries of live targets lapse after three heartbeats, not before. */
    private static final Duration SHORTEST_OUTAGE = Duration.ofSeconds(2);

    private static final Duration FIRST_ANSWER = Duration.ofMillis(450);
    private static final Duration FIRST_RETRY = Duration.ofMillis(10);
    private static final int MAXIMUM_DOUBLINGS = 4;
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
    /** Bounded well below the time within which a change must be in force. */
    private static final Duration LONGEST_BACKOFF = Duration.ofMillis(600);

    private final FleetStore store;
    private final Table table;
    private final TimerService timers;
    private final RandomGenerator random;
    private final Duration pause;
    private final Duration wait;
    private final Listener listener;
    private long version = -1;
    private int failures;
    private long lastSuccessAt;
    private long recoveredAt;
    private Disposable loop = Disposable.disposed();

    /** What happens with the rows. */
    interface Listener {

        /** Takes all rows. */
        void replaced(List<FleetRow> rows);

        /** Takes changed rows in order. */
        void changed(List<FleetRow> rows);
    }

    /**
     * Creates a follower.
     *
     * @param pause time between two calls
     * @param wait time for which the store may hold a call until there is a change
     */
    TableFollower(
            FleetStore store,
            Table table,
            TimerService timers,
            RandomGenerator random,
            Duration pause,
            Duration wait,
            Listener listener) {
        this.store = store;
        this.table = table;
        this.timers = timers;
        this.random = random;
        this.pause = pause;
        this.wait = wait;
        this.listener = listener;
        this.lastSuccessAt = timers.monotonicNanoseconds();
        this.recoveredAt = lastSuccessAt;
    }

    void start() {
        step();
    }

    void stop() {
        loop.dispose();
    }

    /** Tells whether the table has been read at least once. */
    boolean loaded() {
        return version >= 0;
    }

    /** Returns the time since the store last answered. */
    Duration silence() {
        return Duration.ofNanos(timers.monotonicNanoseconds() - lastSuccessAt);
    }

    /** Returns the time since the store answered again after an outage, or nothing during one. */
    Duration sinceRecovery() {
        return silence().compareTo(SHORTEST_OUTAGE) > 0
                ? Duration.ZERO
                : Duration.ofNanos(timers.monotonicNanoseconds() - recoveredAt);
    }

    private void step() {
        Completable call = version < 0 ? readAll("", new ArrayList<>()) : follow();
        loop = call.subscribe(this::succeeded, this::failed);
    }

    private void succeeded() {
        long now = timers.monotonicNanoseconds();
        if (failures > 0) {
            LOG.infof("event=store_regained table=%s version=%d failures=%d", table, version, failures);
            if (now - lastSuccessAt > SHORTEST_OUTAGE.toNanos()) {
                recoveredAt = now;
            }
            failures = 0;
        }
        lastSuccessAt = now;
        loop = timers.after(pause).subscribe(this::step);
    }

    private void failed(Throwable cause) {
        if (failures == 0) {
            LOG.warnf("event=store_lost table=%s version=%d cause=\"%s\"", table, version, cause.getMessage());
        }
        failures++;
        if (failures == 1) {
            loop = timers.after(FIRST_RETRY).subscribe(this::step);
            return;
        }
        long longest =
                Math.min(LONGEST_BACKOFF.toMillis(), FIRST_BACKOFF.toMillis() << Math.min(MAXIMUM_DOUBLINGS, failures));
        long delay = longest / 2 + random.nextLong(longest / 2 + 1);
        loop = timers.after(Duration.ofMillis(delay)).subscribe(this::step);
    }

    /**
     * The first call has little time, because a silent connection must be noticed well before a change has to be in
     * force. After a failure the next ones have more, for a slow store, and use connections of their own, because all
     * that were open may be silent.
     */
    private CallLimit limit() {
        long answer = Math.min(
                FleetStore.USUAL_ANSWER.toMillis(), FIRST_ANSWER.toMillis() << Math.min(MAXIMUM_DOUBLINGS, failures));
        return new CallLimit(Duration.ofMillis(answer), failures > 0);
    }

    private Completable readAll(String from, List<FleetRow> rows) {
        return store.read(table, from, "", PAGE_ROWS, limit()).flatMapCompletable(page -> {
            rows.addAll(page.rows());
            if (page.more() && !page.rows().isEmpty()) {
                // The smallest key after the last one read.
                return readAll(page.rows().get(page.rows().size() - 1).key() + '\0', rows);
            }
            listener.replaced(rows);
            version = page.version();
            return Completable.complete();
        });
    }

    private Completable follow() {
        Single<RowChanges> changes = store.changes(table, version, wait, limit());
        return changes.flatMapCompletable(found -> {
            if (found.historyLost()) {
                LOG.infof("event=store_history_lost table=%s version=%d", table, version);
                return readAll("", new ArrayList<>());
            }
            if (!found.rows().isEmpty()) {
                listener.changed(found.rows());
            }
            version = Math.max(version, found.version());
            return Completable.complete();
        });
    }
}
