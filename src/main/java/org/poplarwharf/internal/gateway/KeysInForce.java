package org.poplarwharf.internal.gateway;

import java.util.Set;

/**
 * The keys of client accounts that a later plan than this node's holds, as another node has stated them by their digests.
 * A node that can't read the platform's log learns from it which keys were withdrawn.
 *
 * <p>Invariants: only the latest statement counts, and only until this node has the plan itself. A statement takes keys
 * away and adds none. Keeps digests and no key. Confined to one thread.
 */
public final class KeysInForce {
    private long version = -1;
    private Set<String> digests = Set.of();

    /** Records the statement of another node; returns whether it is later than all before. */
    public boolean record(long statedVersion, Set<String> statedDigests) {
        if (statedVersion <= version) {
            return false;
        }
        version = statedVersion;
        digests = Set.copyOf(statedDigests);
        return true;
    }

    /** Returns the version of the latest statement; negative if there is none. */
    public long version() {
        return version;
    }

    public Set<String> digests() {
        return digests;
    }

    /** Returns whether a key with the digest, which the plan of the given version holds, has been withdrawn since. */
    public boolean isWithdrawn(String digest, long planVersion) {
        return version > planVersion && !digests.contains(digest);
    }
}
