package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** A table of text with columns as wide as their widest cell. Not thread-safe. */
final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... heads) {
        rows.add(List.of(heads));
    }

    /** Adds a row with as many cells as there are heads. */
    void add(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
    }

    void print(PrintStream out) {
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                line.append(cell)
                        .append(" ".repeat(width(column) - cell.length()))
                        .append(GAP);
            }
            out.println(line.toString().stripTrailing());
        }
    }

    private int width(int column) {
        int width = 0;
        for (List<String> row : rows) {
            width = Math.max(width, row.get(column).length());
        }
        return width;
    }
}
