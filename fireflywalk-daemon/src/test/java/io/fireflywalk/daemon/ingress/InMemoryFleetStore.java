package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.store.StoreEras;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * In-memory store with injectable outages, lost responses, dropped history and returns from an older copy. It has one
 * client; {@link #newClient} adds others, each of which learns of a new era from its own calls.
 */
final class InMemoryFleetStore implements FleetStore {
    private static final Duration HOLD_INTERVAL = Duration.ofMillis(10);

    private final Map<Table, TreeMap<String, FleetRow>> tables = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long version;
    private long historyStart;
    /** Empty until the store states an era. */
    private Optional<Long> era = Optional.empty();

    private final StoreEras eras = new StoreEras();
    boolean unavailable;
    boolean loseResponses;
    int commits;
    int reads;
    /** Calls on pooled connections get no response; those on new connections do. */
    boolean pooledConnectionsUnresponsive;

    /** Substrings of keys for which commits fail. */
    final Set<String> failingKeyParts = new HashSet<>();

    final List<CallOptions> changesCallOptions = new ArrayList<>();
    private final Scheduler scheduler;

    InMemoryFleetStore(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    private record Change(Table table, FleetRow row) {}

    /** Client of the store with its own knowledge of the era. */
    private final class Client implements FleetStore {
        private final StoreEras eras = new StoreEras();

        @Override
        public StoreEras eras() {
            return eras;
        }

        @Override
        public Single<RowPage> read(Table table, String from, String to, int limit, CallOptions options) {
            return answered(eras, InMemoryFleetStore.this.readNow(table, from, to, limit), call -> {});
        }

        @Override
        public Single<RowChanges> changes(Table table, long afterVersion, Duration wait, CallOptions options) {
            return answered(eras, changesNow(table, afterVersion, wait, options), call -> {});
        }

        @Override
        public Single<CommitResult> commit(RowTransaction transaction) {
            return answered(eras, commitNow(transaction), StoreEras.Call::requireSameEra);
        }
    }

    /** Decides whether a result is valid although the era may have changed during its call. */
    private interface Check {
        void apply(StoreEras.Call call) throws FireflywalkException;
    }

    private <T> Single<T> answered(StoreEras clientEras, Single<T> result, Check check) {
        return Single.defer(() -> {
            StoreEras.Call call = clientEras.startCall();
            return result.doOnEvent(
                            (value, failure) -> call.onAnswer(era.map(String::valueOf), ErrorKind.STORE_UNAVAILABLE))
                    .doOnSuccess(value -> check.apply(call));
        });
    }

    FleetStore newClient() {
        return new Client();
    }

    @Override
    public StoreEras eras() {
        return eras;
    }

    void setEra(long number) {
        era = Optional.of(number);
    }

    /** Returns the newest version, at which a copy is taken. */
    long version() {
        return version;
    }

    /** Comes back from the copy of a version: what was written since is gone, and versions are given out again. */
    void comeBackFrom(long copy) {
        List<Change> kept = changes.stream()
                .filter(change -> change.row().version() <= copy)
                .toList();
        tables.clear();
        changes.clear();
        version = copy;
        kept.forEach(change -> {
            put(change.table(), change.row());
            changes.add(change);
        });
        era = Optional.of(era.orElseThrow() + 1);
        unavailable = false;
    }

    @Override
    public Single<RowPage> read(Table table, String from, String to, int limit, CallOptions options) {
        return answered(eras, readNow(table, from, to, limit), call -> {});
    }

    private Single<RowPage> readNow(Table table, String from, String to, int limit) {
        return Single.defer(() -> {
            reads++;
            requireAvailable();
            List<FleetRow> rows = tables.getOrDefault(table, new TreeMap<>()).tailMap(from).values().stream()
                    .filter(row -> to.isEmpty() || row.key().compareTo(to) < 0)
                    .limit(limit + 1L)
                    .toList();
            boolean more = rows.size() > limit;
            return Single.just(new RowPage(more ? rows.subList(0, limit) : rows, more, version));
        });
    }

    @Override
    public Single<RowChanges> changes(Table table, long afterVersion, Duration wait, CallOptions options) {
        return answered(eras, changesNow(table, afterVersion, wait, options), call -> {});
    }

    private Single<RowChanges> changesNow(Table table, long afterVersion, Duration wait, CallOptions options) {
        return Single.defer(() -> {
            reads++;
            requireAvailable();
            changesCallOptions.add(options);
            if (pooledConnectionsUnresponsive && !options.newConnection()) {
                return Single.<RowChanges>never()
                        .timeout(options.responseTimeout().toMillis(), TimeUnit.MILLISECONDS, scheduler);
            }
            if (afterVersion < historyStart || afterVersion > version) {
                return Single.just(new RowChanges(List.of(), afterVersion, true));
            }
            return held(table, afterVersion, wait);
        });
    }

    /** Checks for changes at a fixed interval until there are some or the wait has passed. */
    private Single<RowChanges> held(Table table, long afterVersion, Duration wait) {
        List<FleetRow> rows = changes.stream()
                .filter(change -> change.table() == table && change.row().version() > afterVersion)
                .map(Change::row)
                .toList();
        if (!rows.isEmpty() || wait.compareTo(HOLD_INTERVAL) < 0) {
            return Single.just(new RowChanges(rows, version, false));
        }
        return Single.timer(HOLD_INTERVAL.toMillis(), TimeUnit.MILLISECONDS, scheduler)
                .flatMap(tick -> held(table, afterVersion, wait.minus(HOLD_INTERVAL)));
    }

    @Override
    public Single<CommitResult> commit(RowTransaction transaction) {
        return answered(eras, commitNow(transaction), StoreEras.Call::requireSameEra);
    }

    private Single<CommitResult> commitNow(RowTransaction transaction) {
        return Single.defer(() -> {
            requireAvailable();
            if (transaction.writes().stream()
                    .anyMatch(write -> failingKeyParts.stream().anyMatch(write.key()::contains))) {
                throw new FireflywalkException(ErrorKind.STORE_UNAVAILABLE, "write rejected", "memory store");
            }
            commits++;
            for (Precondition precondition : transaction.preconditions()) {
                FleetRow row = tables.getOrDefault(precondition.table(), new TreeMap<>())
                        .get(precondition.key());
                if ((row == null ? 0 : row.version()) != precondition.version()) {
                    return Single.just(new CommitResult(false, 0));
                }
            }
            version++;
            transaction.writes().forEach(this::apply);
            if (loseResponses) {
                return Single.error(
                        new FireflywalkException(ErrorKind.STORE_OUTCOME_UNKNOWN, "response lost", "memory store"));
            }
            return Single.just(new CommitResult(true, version));
        });
    }

    private void apply(Write write) {
        FleetRow row = new FleetRow(write.key(), version, write.value());
        put(write.table(), row);
        changes.add(new Change(write.table(), row));
    }

    private void put(Table table, FleetRow row) {
        TreeMap<String, FleetRow> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
        if (row.value().isPresent()) {
            rows.put(row.key(), row);
        } else {
            rows.remove(row.key());
        }
    }

    void dropHistory() {
        historyStart = version + 1;
        version++;
    }

    Optional<FleetRow> row(Table table, String key) {
        return Optional.ofNullable(tables.getOrDefault(table, new TreeMap<>()).get(key));
    }

    private void requireAvailable() throws FireflywalkException {
        if (unavailable) {
            throw new FireflywalkException(ErrorKind.STORE_UNAVAILABLE, "unavailable", "memory store");
        }
    }
}
