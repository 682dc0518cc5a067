package org.poplarwharf;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that the table in docs/ERRORS.md matches {@link FailureCode}. */
class ErrorsPageTest {
    private static final Path ERRORS_PAGE = Path.of("docs", "ERRORS.md");
    private static final int COLUMN_COUNT = 6;

    @Test
    void page_documents_each_failure_code_with_status_ran_meaning_and_actions_and_no_other_code() throws IOException {
        List<List<String>> rows = Files.readAllLines(ERRORS_PAGE).stream()
                .filter(line -> line.startsWith("| `"))
                .map(ErrorsPageTest::splitRow)
                .toList();
        List<List<String>> documented =
                rows.stream().map(row -> row.subList(0, 3)).toList();
        List<List<String>> expected = Arrays.stream(FailureCode.values())
                .map(code -> List.of(
                        "`" + code.text() + "`",
                        Integer.toString(code.httpStatus()),
                        code.ran().text()))
                .toList();
        assertThat(documented).containsExactlyElementsOf(expected);
        assertThat(rows).allSatisfy(row -> assertThat(row).hasSize(COLUMN_COUNT).noneMatch(String::isEmpty));
    }

    private static List<String> splitRow(String line) {
        return Arrays.stream(line.substring(1, line.length() - 1).split("\\|"))
                .map(String::strip)
                .toList();
    }
}
