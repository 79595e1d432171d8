package io.fireflywalk.services.table;

/**
 * A row of the table service.
 *
 * @param table name of the table
 * @param key key of the row within the table
 * @param version version, which starts at 1 and increases with each write
 * @param value content
 */
public record Row(String table, String key, long version, String value) {}
