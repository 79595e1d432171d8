package io.fireflywalk.services.configuration;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Stores the configuration in the table service: one row per document, one log row per version, and a head row whose
 * row version is the current configuration version. Thread-safe.
 */
public final class ConfigurationRepository {
    private static final String DOCUMENT_TABLE = "configuration-document";
    private static final String LOG_TABLE = "configuration-log";
    private static final String HEAD_TABLE = "configuration-head";
    private static final String HEAD_KEY = "head";
    private static final int SCAN_PAGE_ROWS = 500;

    private final TableService tables;

    public ConfigurationRepository(TableService tables) {
        this.tables = tables;
    }

    /** Returns the current configuration version; 0 if no change has been accepted yet. */
    public Single<Long> headVersion() {
        return tables.read(HEAD_TABLE, HEAD_KEY)
                .map(row -> row.map(Row::version).orElse(0L));
    }

    /** Commits the changes as the version after the base version; emits false if another change was committed first. */
    public Single<Boolean> commit(
            String transactionId, long baseVersion, List<DocumentChange> changes, ChangeRecord entry) {
        Transaction.Builder transaction = Transaction.builder(transactionId)
                .expect(HEAD_TABLE, HEAD_KEY, baseVersion)
                .put(HEAD_TABLE, HEAD_KEY, Long.toString(entry.version()))
                .put(LOG_TABLE, logKey(entry.version()), Codec.json().write(entry));
        for (DocumentChange change : changes) {
            String key = documentKey(change);
            if (change.document().isPresent()) {
                transaction.put(DOCUMENT_TABLE, key, Codec.json().write(DocumentCodec.toMessage(change)));
            } else {
                transaction.remove(DOCUMENT_TABLE, key);
            }
        }
        return tables.execute(transaction.build()).map(TransactionResult::committed);
    }

    /** Updates the snapshot to the current version. A snapshot of version 0 is loaded from the document rows. */
    public Single<Refresh> refresh(ConfigurationSnapshot current) {
        return headVersion().flatMap(head -> {
            if (head <= current.version()) {
                return Single.just(new Refresh(current, List.of()));
            }
            if (current.version() == 0) {
                return loadDocuments(head).flatMap(loaded -> replayLog(new Refresh(loaded, List.of())));
            }
            return replayLog(new Refresh(current, List.of()));
        });
    }

    /** Returns up to one page of the log entries after the version. */
    public Single<List<ChangeRecord>> readLogAfter(long version) {
        return tables.scan(LOG_TABLE, "", logKey(version), SCAN_PAGE_ROWS).map(rows -> {
            List<ChangeRecord> entries = new ArrayList<>();
            for (Row row : rows) {
                entries.add(Codec.json().read(row.value(), ChangeRecord.class, LOG_TABLE + "/" + row.key()));
            }
            return entries;
        });
    }

    /**
     * Loads the document rows as a snapshot of the version that was current before the scan. Rows written during the
     * scan may be newer; replaying the log from that version is idempotent and gives the same documents.
     */
    private Single<ConfigurationSnapshot> loadDocuments(long headBeforeScan) {
        return scanDocuments("", new ArrayList<>())
                .map(changes -> ConfigurationSnapshot.empty().apply(headBeforeScan, changes));
    }

    private Single<List<DocumentChange>> scanDocuments(String after, List<DocumentChange> collected) {
        return tables.scan(DOCUMENT_TABLE, "", after, SCAN_PAGE_ROWS).flatMap(rows -> {
            for (Row row : rows) {
                String location = DOCUMENT_TABLE + "/" + row.key();
                var message = Codec.json().read(row.value(), DocumentCodec.ChangeMessage.class, location);
                collected.add(DocumentCodec.fromMessage(message, location));
            }
            if (rows.size() < SCAN_PAGE_ROWS) {
                return Single.just(collected);
            }
            return scanDocuments(rows.get(rows.size() - 1).key(), collected);
        });
    }

    private Single<Refresh> replayLog(Refresh replayed) {
        long version = replayed.snapshot().version();
        return readLogAfter(version).flatMap(entries -> {
            Optional<ConfigurationSnapshot> next = applyEntries(replayed.snapshot(), entries);
            if (next.isEmpty()) {
                return Single.error(
                        new FireflywalkException(ErrorKind.INTERNAL, "gap after version " + version, LOG_TABLE));
            }
            List<ChangeRecord> applied = new ArrayList<>(replayed.entries());
            applied.addAll(entries);
            Refresh refresh = new Refresh(next.get(), applied);
            return entries.size() < SCAN_PAGE_ROWS ? Single.just(refresh) : replayLog(refresh);
        });
    }

    /** Applies consecutive log entries; empty if a version is missing. */
    public static Optional<ConfigurationSnapshot> applyEntries(
            ConfigurationSnapshot snapshot, List<ChangeRecord> entries) throws FireflywalkException {
        ConfigurationSnapshot next = snapshot;
        for (ChangeRecord entry : entries) {
            if (entry.version() != next.version() + 1) {
                return Optional.empty();
            }
            next = next.apply(entry.version(), DocumentCodec.fromMessages(entry.changes(), LOG_TABLE));
        }
        return Optional.of(next);
    }

    private static String documentKey(DocumentChange change) {
        return change.kind().name().toLowerCase(Locale.ROOT) + "/" + change.name();
    }

    private static String logKey(long version) {
        return String.format(Locale.ROOT, "%019d", version);
    }

    /**
     * Result of a refresh.
     *
     * @param snapshot snapshot of the current version
     * @param entries log entries that were applied
     */
    public record Refresh(ConfigurationSnapshot snapshot, List<ChangeRecord> entries) {
        public Refresh {
            entries = List.copyOf(entries);
        }
    }
}
