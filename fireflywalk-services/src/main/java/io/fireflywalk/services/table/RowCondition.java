package io.fireflywalk.services.table;

/**
 * Condition of a transaction on one row.
 *
 * @param table name of the table
 * @param key key of the row
 * @param expectedVersion version that the row must have; 0 if it must not exist
 */
public record RowCondition(String table, String key, long expectedVersion) {}
