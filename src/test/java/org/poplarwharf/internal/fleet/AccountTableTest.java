package org.poplarwharf.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class AccountTableTest {
    private static final ClientAccount FIRST = new ClientAccount("first", OptionalInt.empty(), Optional.empty());
    private static final ClientAccount SECOND = new ClientAccount("second", OptionalInt.of(2), Optional.empty());

    @Test
    void key_finds_the_account_that_holds_it() {
        AccountTable accounts = new AccountTable.Builder()
                .add(FIRST, List.of("k1", "k2"))
                .add(SECOND, List.of("k3"))
                .build();

        assertThat(accounts.findByKey("k2", digest -> false)).contains(FIRST);
        assertThat(accounts.findByKey("k3", digest -> false)).contains(SECOND);
        assertThat(accounts.findByKey("k4", digest -> false)).isEmpty();
        assertThat(accounts.findByKey("", digest -> false)).isEmpty();
        assertThat(accounts.findByKey("k".repeat(10_000), digest -> false)).isEmpty();
    }

    @Test
    void key_that_two_accounts_hold_belongs_to_neither() {
        AccountTable accounts = new AccountTable.Builder()
                .add(FIRST, List.of("shared", "k1"))
                .add(SECOND, List.of("shared"))
                .build();

        assertThat(accounts.findByKey("shared", digest -> false)).isEmpty();
        assertThat(accounts.findByKey("k1", digest -> false)).contains(FIRST);
    }

    @Test
    void withdrawn_key_finds_no_account() {
        AccountTable accounts =
                new AccountTable.Builder().add(FIRST, List.of("k1", "k2")).build();
        AccountTable later =
                new AccountTable.Builder().add(FIRST, List.of("k2")).build();

        assertThat(accounts.findByKey("k1", digest -> !later.keyDigests().contains(digest)))
                .isEmpty();
        assertThat(accounts.findByKey("k2", digest -> !later.keyDigests().contains(digest)))
                .contains(FIRST);
    }

    @Test
    void digests_do_not_show_the_keys() {
        AccountTable accounts =
                new AccountTable.Builder().add(FIRST, List.of("topsecret")).build();

        assertThat(accounts.keyDigests()).noneMatch(digest -> digest.contains("topsecret"));
    }
}
