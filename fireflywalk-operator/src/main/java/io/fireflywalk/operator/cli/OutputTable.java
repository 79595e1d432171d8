package io.fireflywalk.operator.cli;

import java.util.List;

/** Renders rows as a plain-text table with aligned columns. Stateless. */
final class OutputTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private OutputTable() {}

    static String render(List<String> columns, List<List<String>> rows) {
        int[] widths = new int[columns.size()];
        updateWidths(widths, columns);
        rows.forEach(row -> updateWidths(widths, row));
        StringBuilder text = new StringBuilder();
        appendRow(text, widths, columns);
        rows.forEach(row -> appendRow(text, widths, row));
        return text.toString();
    }

    private static void updateWidths(int[] widths, List<String> cells) {
        for (int column = 0; column < widths.length; column++) {
            widths[column] = Math.max(widths[column], cells.get(column).length());
        }
    }

    private static void appendRow(StringBuilder text, int[] widths, List<String> cells) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            String cell = cells.get(column);
            line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(COLUMN_SEPARATOR);
        }
        text.append(line.toString().stripTrailing()).append(System.lineSeparator());
    }
}
