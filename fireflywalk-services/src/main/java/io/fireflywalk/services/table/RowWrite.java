package io.fireflywalk.services.table;

import java.util.Optional;

/**
 * Write of a transaction to one row.
 *
 * @param table name of the table
 * @param key key of the row
 * @param value new value; empty to remove the row
 */
public record RowWrite(String table, String key, Optional<String> value) {}
