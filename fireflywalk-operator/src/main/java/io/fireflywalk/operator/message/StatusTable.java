package io.fireflywalk.operator.message;

import java.util.List;

/**
 * Table of a status response.
 *
 * @param title heading of the table
 * @param columns column names
 * @param rows cells of each row, one per column
 */
public record StatusTable(String title, List<String> columns, List<List<String>> rows) {

    public StatusTable {
        columns = List.copyOf(columns);
        rows = rows.stream().map(List::copyOf).toList();
    }
}
