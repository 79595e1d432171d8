package io.fireflywalk.operator.cli;

import java.util.List;

/** Renders rows as a table with aligned columns. Stateless. */
final class OutputTable {
    private static final String GAP = "  ";

    private OutputTable() {}

    static String render(List<String> columns, List<List<String>> rows) {
        int[] widths = new int[columns.size()];
        widen(widths, columns);
        rows.forEach(row -> widen(widths, row));
        StringBuilder text = new StringBuilder();
        append(text, widths, columns);
        rows.forEach(row -> append(text, widths, row));
        return text.toString();
    }

    private static void widen(int[] widths, List<String> cells) {
        for (int column = 0; column < widths.length; column++) {
            widths[column] = Math.max(widths[column], cells.get(column).length());
        }
    }

    private static void append(StringBuilder text, int[] widths, List<String> cells) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            String cell = cells.get(column);
            line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(GAP);
        }
        text.append(line.toString().stripTrailing()).append(System.lineSeparator());
    }
}
