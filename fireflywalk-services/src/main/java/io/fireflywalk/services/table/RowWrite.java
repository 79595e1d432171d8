package io.fireflywalk.services.table;

import java.util.Optional;

/**
 * Write of a transaction.
 *
 * @param table name of the table
 * @param key key of the row
 * @param value new content, or empty if the row is removed
 */
public record RowWrite(String table, String key, Optional<String> value) {}
