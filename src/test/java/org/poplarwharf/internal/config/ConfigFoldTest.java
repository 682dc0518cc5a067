package org.poplarwharf.internal.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.config.ConfigRecord.ChangeProposed;
import org.poplarwharf.internal.config.ConfigRecord.FileChange;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;

class ConfigFoldTest {
    private static final String CELLS = "cells: [{name: main, zones: [a, b]}]";
    private static final byte[] WRITERS = {1};

    private final ConfigFold fold = new ConfigFold();

    @Test
    void the_first_of_two_concurrent_changes_wins_and_the_rejection_of_the_second_names_the_winner() {
        fold.apply(10, change("c1", "ann", "classes.yaml", -1, "classes: [{name: c, deadline: 1s}]"));

        ApplyResult second = fold.apply(20, change("c2", "bob", "classes.yaml", -1, "classes: []"));

        assertThat(second.accepted()).isFalse();
        assertThat(second.reason()).contains("classes.yaml", "version 10", "ann");
        assertThat(fold.config().version()).isEqualTo(10);
        assertThat(fold.apply(30, change("c3", "bob", "classes.yaml", 10, "classes: []"))
                        .accepted())
                .isTrue();
    }

    @Test
    void a_change_with_a_known_id_is_rejected() {
        ChangeProposed change = change("c1", "ann", "a.yaml", -1, CELLS);
        fold.apply(10, change);

        assertThat(fold.apply(20, change).accepted()).isFalse();
        assertThat(fold.config().version()).isEqualTo(10);
    }

    @Test
    void a_change_whose_merged_result_is_invalid_has_no_effect() {
        fold.apply(10, change("c1", "ann", "a.yaml", -1, CELLS));

        ApplyResult invalid = fold.apply(20, change("c2", "ann", "b.yaml", -1, "tenants: [{name: t, class: none}]"));

        assertThat(invalid.accepted()).isFalse();
        assertThat(invalid.reason()).contains("b.yaml", "there is no class 'none'");
        assertThat(fold.files()).hasSize(1);
    }

    @Test
    void cells_and_target_zones_are_immutable_once_accepted() {
        fold.apply(10, change("c1", "ann", "a.yaml", -1, CELLS));
        fold.apply(20, change("c2", "ann", "t.yaml", -1, target("a")));

        assertThat(fold.apply(30, change("c3", "ann", "t.yaml", 20, target("b")))
                        .reason())
                .contains("target 'gpu' can't move from zone 'a' to 'b'");
        assertThat(fold.apply(40, change("c4", "ann", "a.yaml", 10, CELLS.replace("main", "two")))
                        .reason())
                .contains("the set of cells can't change");
    }

    @Test
    void a_fold_restored_from_a_checkpoint_makes_the_same_decisions() {
        fold.apply(10, change("c1", "ann", "a.yaml", -1, CELLS));
        ConfigRecord checkpoint = fold.createCheckpoint(999, WRITERS);
        ConfigFold restored = new ConfigFold();

        assertThat(restored.restore(checkpoint)).isEqualTo(WRITERS);
        assertThat(restored.config()).isEqualTo(fold.config());
        ChangeProposed staleChange = change("c2", "bob", "a.yaml", -1, CELLS);
        assertThat(restored.apply(2_000, staleChange)).isEqualTo(fold.apply(2_000, staleChange));
        assertThat(restored.createCheckpoint(2_000, WRITERS))
                .usingRecursiveComparison()
                .isEqualTo(fold.createCheckpoint(2_000, WRITERS));
    }

    @Test
    void a_checkpoint_with_a_lower_version_is_rejected() {
        ConfigRecord empty = new ConfigFold().createCheckpoint(999, WRITERS);
        fold.apply(10, change("c1", "ann", "a.yaml", -1, CELLS));

        assertThatThrownBy(() -> fold.restore(empty)).isInstanceOf(PoplarWharfException.class);
        assertThat(fold.config().version()).isEqualTo(10);
    }

    private static ChangeProposed change(
            String id, String operator, String file, long replacesVersion, String content) {
        return new ChangeProposed(id, operator, List.of(new FileChange(file, replacesVersion, Optional.of(content))));
    }

    private static String target(String zone) {
        return "targets: [{name: gpu, kind: engine, address: '127.0.0.1:1', zone: " + zone + ", memory: 1GiB}]";
    }
}
