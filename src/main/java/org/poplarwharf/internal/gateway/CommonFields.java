package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Learns which optional fields the targets of this deployment state, since each deployment's targets state the same ones.
 *
 * <p>A field is required once half of the entries state it, and until more entries lack it than have ever stated it since then, so
 * that single entries of another writer change nothing, also while most targets are gone. Confined to the event loop.
 */
final class CommonFields {
    private final Map<String, Set<String>> fieldsByKey = new HashMap<>();
    private final Map<String, Integer> statedCountByField = new HashMap<>();

    /** The required fields, with the largest number of entries that have stated each since it is required. */
    private final Map<String, Integer> maxStatedCountByField = new HashMap<>();

    /** Records the optional fields of an entry, and returns whether other fields are required now. */
    boolean put(String key, Set<String> fields) {
        Set<String> previous = fieldsByKey.put(key, fields);
        if (fields.equals(previous)) {
            return false;
        }
        count(previous == null ? Set.of() : previous, -1);
        count(fields, 1);
        return update();
    }

    /** Forgets an entry, and returns whether other fields are required now. */
    boolean remove(String key) {
        Set<String> previous = fieldsByKey.remove(key);
        if (previous == null) {
            return false;
        }
        count(previous, -1);
        return update();
    }

    /** Returns whether an entry with these optional fields states all that are required. */
    boolean isComplete(Set<String> fields) {
        return fields.containsAll(maxStatedCountByField.keySet());
    }

    private void count(Set<String> fields, int change) {
        fields.forEach(field -> statedCountByField.merge(field, change, Integer::sum));
    }

    private boolean update() {
        Set<String> before = new HashSet<>(maxStatedCountByField.keySet());
        statedCountByField.forEach((field, statedCount) -> {
            int missingCount = fieldsByKey.size() - statedCount;
            int maxStatedCount = Math.max(statedCount, maxStatedCountByField.getOrDefault(field, 0));
            boolean isRequired = maxStatedCount > 0 && missingCount <= maxStatedCount;
            if (!isRequired) {
                maxStatedCountByField.remove(field);
            } else if (before.contains(field) || statedCount >= missingCount) {
                maxStatedCountByField.put(field, maxStatedCount);
            }
        });
        return !before.equals(maxStatedCountByField.keySet());
    }
}
