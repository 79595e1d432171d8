package io.fireflywalk.services.table;

/**
 * Precondition of a transaction on the version of one row.
 *
 * @param table name of the table
 * @param key key of the row
 * @param expectedVersion version that the row must have; 0 if it must not exist
 */
public record RowCondition(String table, String key, long expectedVersion) {}
