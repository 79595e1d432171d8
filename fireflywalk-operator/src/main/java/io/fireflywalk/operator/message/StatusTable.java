package io.fireflywalk.operator.message;

import java.util.List;

/**
 * One table of a status report.
 *
 * @param title what the rows are
 * @param columns names of the columns
 * @param rows cells of each row, as many as there are columns
 */
public record StatusTable(String title, List<String> columns, List<List<String>> rows) {

    public StatusTable {
        columns = List.copyOf(columns);
        rows = rows.stream().map(List::copyOf).toList();
    }
}
