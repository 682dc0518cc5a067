package org.poplarwharf;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ErrorsPageTest {
    private static final Path PAGE = Path.of("docs", "ERRORS.md");
    private static final int COLUMNS = 6;

    @Test
    void page_tells_status_ran_meaning_and_what_to_do_for_each_code_and_no_other() throws IOException {
        List<List<String>> rows = Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith("| `"))
                .map(ErrorsPageTest::cells)
                .toList();
        List<List<String>> facts = rows.stream().map(row -> row.subList(0, 3)).toList();
        List<List<String>> wanted = Arrays.stream(FailureCode.values())
                .map(code -> List.of(
                        "`" + code.text() + "`",
                        Integer.toString(code.httpStatus()),
                        code.ran().text()))
                .toList();
        assertThat(facts).containsExactlyElementsOf(wanted);
        assertThat(rows).allSatisfy(row -> assertThat(row).hasSize(COLUMNS).noneMatch(String::isEmpty));
    }

    private static List<String> cells(String line) {
        return Arrays.stream(line.substring(1, line.length() - 1).split("\\|"))
                .map(String::strip)
                .toList();
    }
}
