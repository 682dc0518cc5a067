package org.poplarwharf.internal.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the client account that holds a key.
 *
 * <p>Invariants: keeps digests of keys and no key. A key that several accounts hold belongs to none of them. Immutable and
 * thread-safe.
 */
public final class AccountTable {
    /** A longer text is no key, so that callers can't make a node hash large headers. */
    private static final int MAX_KEY_CHARS = 1_024;

    private final Map<String, ClientAccount> accountsByName;
    private final Map<String, ClientAccount> accountsByKeyDigest;

    private AccountTable(Map<String, ClientAccount> accountsByName, Map<String, ClientAccount> accountsByKeyDigest) {
        this.accountsByName = accountsByName;
        this.accountsByKeyDigest = accountsByKeyDigest;
    }

    /** Returns the account that holds the key; empty if none or more than one does. */
    public Optional<ClientAccount> findByKey(String key) {
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS) {
            return Optional.empty();
        }
        return Optional.ofNullable(accountsByKeyDigest.get(digest(key)));
    }

    /** Returns the account with the name. */
    public Optional<ClientAccount> find(String name) {
        return Optional.ofNullable(accountsByName.get(name));
    }

    /** Returns all accounts, by name. */
    public Map<String, ClientAccount> accountsByName() {
        return accountsByName;
    }

    /** Returns the number of keys that belong to an account. */
    public int keyCount() {
        return accountsByKeyDigest.size();
    }

    private static String digest(String key) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Collects accounts and their keys. Confined to one thread. */
    public static final class Builder {
        private final Map<String, ClientAccount> accountsByName = new LinkedHashMap<>();
        private final Map<String, ClientAccount> accountsByKeyDigest = new HashMap<>();
        private final Set<String> sharedKeyDigests = new HashSet<>();

        /** Adds an account with its keys. An account with the name of an earlier one replaces its limits and adds keys. */
        public Builder add(ClientAccount account, List<String> keys) {
            accountsByName.put(account.name(), account);
            accountsByKeyDigest.replaceAll((key, known) -> known.name().equals(account.name()) ? account : known);
            for (String key : keys) {
                ClientAccount previous = accountsByKeyDigest.put(digest(key), account);
                if (previous != null && !previous.name().equals(account.name())) {
                    sharedKeyDigests.add(digest(key));
                }
            }
            return this;
        }

        public AccountTable build() {
            Map<String, ClientAccount> unshared = new HashMap<>(accountsByKeyDigest);
            unshared.keySet().removeAll(sharedKeyDigests);
            return new AccountTable(new LinkedHashMap<>(accountsByName), unshared);
        }
    }
}
