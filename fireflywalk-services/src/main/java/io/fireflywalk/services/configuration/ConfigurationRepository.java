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
 * Configuration in the table service: one row per document, one log row per version, and a head row whose version is
 * the configuration's. Thread-safe.
 */
public final class ConfigurationRepository {
    private static final String DOCUMENT_TABLE = "configuration-document";
    private static final String LOG_TABLE = "configuration-log";
    private static final String HEAD_TABLE = "configuration-head";
    private static final String HEAD_KEY = "head";
    private static final int SCAN_LIMIT = 500;

    private final TableService tables;

    public ConfigurationRepository(TableService tables) {
        this.tables = tables;
    }

    /** Returns the version of the head; 0 if nothing was ever accepted. */
    public Single<Long> headVersion() {
        return tables.read(HEAD_TABLE, HEAD_KEY)
                .map(row -> row.map(Row::version).orElse(0L));
    }

    /** Writes the changes as the version after the base; emits false if another change came first. */
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

    /** Returns the snapshot brought up to the head. A snapshot of version 0 is loaded from the document rows. */
    public Single<Refresh> refresh(ConfigurationSnapshot current) {
        return headVersion().flatMap(head -> {
            if (head <= current.version()) {
                return Single.just(new Refresh(current, List.of()));
            }
            if (current.version() == 0) {
                return load(head).flatMap(loaded -> followLog(new Refresh(loaded, List.of())));
            }
            return followLog(new Refresh(current, List.of()));
        });
    }

    /** Returns the log entries after the version, at most one page. */
    public Single<List<ChangeRecord>> logAfter(long version) {
        return tables.scan(LOG_TABLE, "", logKey(version), SCAN_LIMIT).map(rows -> {
            List<ChangeRecord> entries = new ArrayList<>();
            for (Row row : rows) {
                entries.add(Codec.json().read(row.value(), ChangeRecord.class, LOG_TABLE + "/" + row.key()));
            }
            return entries;
        });
    }

    /**
     * Loads the document rows as the version of the head read before the scan. Rows written during the scan may be
     * newer; applying the log after that version again gives the same documents.
     */
    private Single<ConfigurationSnapshot> load(long headBeforeScan) {
        return scanDocuments("", new ArrayList<>())
                .map(changes -> ConfigurationSnapshot.empty().apply(headBeforeScan, changes));
    }

    private Single<List<DocumentChange>> scanDocuments(String after, List<DocumentChange> collected) {
        return tables.scan(DOCUMENT_TABLE, "", after, SCAN_LIMIT).flatMap(rows -> {
            for (Row row : rows) {
                String location = DOCUMENT_TABLE + "/" + row.key();
                var message = Codec.json().read(row.value(), DocumentCodec.ChangeMessage.class, location);
                collected.add(DocumentCodec.fromMessage(message, location));
            }
            if (rows.size() < SCAN_LIMIT) {
                return Single.just(collected);
            }
            return scanDocuments(rows.get(rows.size() - 1).key(), collected);
        });
    }

    private Single<Refresh> followLog(Refresh reached) {
        long version = reached.snapshot().version();
        return logAfter(version).flatMap(entries -> {
            Optional<ConfigurationSnapshot> next = applyEntries(reached.snapshot(), entries);
            if (next.isEmpty()) {
                return Single.error(
                        new FireflywalkException(ErrorKind.INTERNAL, "gap after version " + version, LOG_TABLE));
            }
            List<ChangeRecord> applied = new ArrayList<>(reached.entries());
            applied.addAll(entries);
            Refresh refresh = new Refresh(next.get(), applied);
            return entries.size() < SCAN_LIMIT ? Single.just(refresh) : followLog(refresh);
        });
    }

    /** Applies consecutive log entries; empty if one is missing. */
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
     * @param snapshot snapshot at the head
     * @param entries log entries that led to it
     */
    public record Refresh(ConfigurationSnapshot snapshot, List<ChangeRecord> entries) {
        public Refresh {
            entries = List.copyOf(entries);
        }
    }
}
