package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.claim.ClaimRecord;
import io.fireflywalk.core.claim.StoredResponse;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.daemon.peer.MemberDirectory;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.object.ObjectStore;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.jboss.logging.Logger;

/**
 * Removes expired claims and their stored responses, one page of the table per period. Only the member that ranks first
 * by rendezvous hashing sweeps; two sweepers do no harm, because each removal is conditional. Confined to one event
 * loop.
 */
public final class ClaimSweeper {
    private static final Logger LOG = Logger.getLogger(ClaimSweeper.class);
    /** With this size and period, a pass over the claims of one day at the target rate of 640/s takes 18 hours. */
    private static final int ROWS_PER_PAGE = 500;

    private static final Duration PAGE_PERIOD = Duration.ofMillis(600);
    private static final long MILLISECONDS_PER_HOUR = 3_600_000;

    private final TableService tables;
    private final ObjectStore objects;
    private final MemberDirectory members;
    private final Member self;
    private final TimerService timers;
    private final ClaimLimits limits;
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private String cursor = "";

    public ClaimSweeper(
            TableService tables,
            ObjectStore objects,
            MemberDirectory members,
            Member self,
            TimerService timers,
            ClaimLimits limits) {
        this.tables = tables;
        this.objects = objects;
        this.members = members;
        this.self = self;
        this.timers = timers;
        this.limits = limits;
    }

    public void start() {
        subscriptions.add(timers.every(PAGE_PERIOD)
                .observeOn(timers.scheduler())
                .concatMapCompletable(tick -> sweepNextPage().onErrorComplete(cause -> {
                    LOG.warnf("event=claim_sweep_failed cause=\"%s\"", cause.getMessage());
                    return true;
                }))
                .subscribe());
    }

    public void stop() {
        subscriptions.clear();
    }

    /** Removes the expired claims on the next page of the table. */
    Completable sweepNextPage() {
        return Completable.defer(() -> {
            List<Member> ranking = RendezvousHashing.rank(members.liveMembers(), "claim-sweep", 1);
            if (!ranking.isEmpty() && !ranking.get(0).incarnation().equals(self.incarnation())) {
                return Completable.complete();
            }
            return tables.scan(ClaimCommitter.TABLE, "", cursor, ROWS_PER_PAGE)
                    .observeOn(timers.scheduler())
                    .flatMapCompletable(rows -> {
                        cursor = rows.size() < ROWS_PER_PAGE
                                ? ""
                                : rows.get(rows.size() - 1).key();
                        return removeExpired(rows);
                    });
        });
    }

    private Completable removeExpired(List<Row> rows) throws FireflywalkException {
        long currentHour = timers.wallClockMilliseconds() / MILLISECONDS_PER_HOUR;
        List<String> objectNames = new ArrayList<>();
        Transaction.Builder builder = Transaction.builder(UUID.randomUUID().toString());
        int expiredRows = 0;
        for (Row row : rows) {
            ClaimRecord claim = Codec.json().read(row.value(), ClaimRecord.class, row.key());
            if (currentHour - claim.hour() > limits.expiryHours()) {
                claim.answer().flatMap(StoredResponse::objectName).ifPresent(objectNames::add);
                builder.expect(ClaimCommitter.TABLE, row.key(), row.version()).remove(ClaimCommitter.TABLE, row.key());
                expiredRows++;
            }
        }
        if (expiredRows == 0) {
            return Completable.complete();
        }
        return Observable.fromIterable(objectNames)
                .concatMapCompletable(objects::remove)
                .andThen(tables.execute(builder.build()).ignoreElement());
    }
}
