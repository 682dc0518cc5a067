package org.poplarwharf.internal.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ConfigurationDocsTest {
    @ParameterizedTest
    @EnumSource(ConfigSection.class)
    void the_configuration_page_documents_every_key(ConfigSection section) throws IOException {
        String page = Files.readString(Path.of("docs/CONFIGURATION.md"));
        String heading = "### " + section.key() + "\n";

        assertThat(page).contains(heading);
        String sectionText =
                page.substring(page.indexOf(heading) + heading.length()).split("\n##", 2)[0];
        assertThat(section.itemKeys()).allSatisfy(key -> assertThat(sectionText).contains("`" + key + "`"));
    }
}
