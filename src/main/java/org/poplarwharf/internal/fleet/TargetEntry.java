package org.poplarwharf.internal.fleet;

import java.util.Set;

/** What an entry in the list of targets says. Immutable and thread-safe. */
public sealed interface TargetEntry {
    /**
     * An entry that describes a target.
     *
     * @param optionalFields the names of the fields that it states and that the entries of some deployments lack
     */
    record Described(Target target, Set<String> optionalFields) implements TargetEntry {}

    /** An entry that names no target to use, such as one of another writer. */
    record Unusable(String reason) implements TargetEntry {}
}
