package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** A text table; each column is as wide as its widest cell. Not thread-safe. */
final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... headers) {
        rows.add(List.of(headers));
    }

    /** Adds a row, which must have as many cells as the table has headers. */
    void add(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
    }

    /** Prints the headers and all rows. */
    void print(PrintStream out) {
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                line.append(cell)
                        .append(" ".repeat(columnWidth(column) - cell.length()))
                        .append(COLUMN_SEPARATOR);
            }
            out.println(line.toString().stripTrailing());
        }
    }

    private int columnWidth(int column) {
        int width = 0;
        for (List<String> row : rows) {
            width = Math.max(width, row.get(column).length());
        }
        return width;
    }
}
