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
import java.util.function.Predicate;

/**
 * Finds the client account that holds a key.
 *
 * <p>Invariants: keeps digests of keys and no key. A key that several accounts hold belongs to none of them. Immutable and
 * thread-safe.
 */
public final class AccountTable {
    /** A longer text is no key, so that callers can't make a node hash large headers. */
    private static final int MAX_KEY_CHARS = 1_024;

    /** Enough that no two keys of a deployment have the same digest, and few enough that nodes can exchange all digests. */
    private static final int DIGEST_BYTES = 12;

    private final Map<String, ClientAccount> accountsByName;
    private final Map<String, ClientAccount> accountsByKeyDigest;

    private AccountTable(Map<String, ClientAccount> accountsByName, Map<String, ClientAccount> accountsByKeyDigest) {
        this.accountsByName = accountsByName;
        this.accountsByKeyDigest = accountsByKeyDigest;
    }

    /**
     * Returns the account that holds the key; empty if none or more than one does.
     *
     * @param isWithdrawn whether a later plan than that of this table has withdrawn the key with the given digest
     */
    public Optional<ClientAccount> findByKey(String key, Predicate<String> isWithdrawn) {
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS) {
            return Optional.empty();
        }
        String digest = digest(key);
        return Optional.ofNullable(accountsByKeyDigest.get(digest)).filter(account -> !isWithdrawn.test(digest));
    }

    /** Returns the digests of the keys that belong to an account. */
    public Set<String> keyDigests() {
        return accountsByKeyDigest.keySet();
    }

    /** Returns the account with the name. */
    public Optional<ClientAccount> find(String name) {
        return Optional.ofNullable(accountsByName.get(name));
    }

    /** Returns all accounts, by name. */
    public Map<String, ClientAccount> accountsByName() {
        return accountsByName;
    }

    private static String digest(String key) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
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
            if (accountsByName.put(account.name(), account) != null) {
                accountsByKeyDigest.replaceAll((key, known) -> known.name().equals(account.name()) ? account : known);
            }
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
