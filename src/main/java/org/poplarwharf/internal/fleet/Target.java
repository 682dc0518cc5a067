package org.poplarwharf.internal.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A target as its last check-in describes it. Immutable and thread-safe.
 *
 * @param id the identity that requests expect
 * @param startedAtMillis the time of day of its start, in Unix milliseconds; zero where it doesn't say. Together with
 *     the id it tells one incarnation from the next
 * @param checkIns how often it has checked in since its start
 * @param leaving whether it takes no new work
 * @param remainingMillis how long it still runs, where it is being taken away at short notice
 * @param inMemory models whose weights have a copy in its main memory
 * @param onDisk models whose weights have a copy on its disk
 */
public record Target(
        String id,
        long startedAtMillis,
        long checkIns,
        String service,
        InetSocketAddress address,
        String zone,
        int slots,
        boolean leaving,
        OptionalLong remainingMillis,
        List<HeldModel> models,
        Set<String> inMemory,
        Set<String> onDisk) {

    /** Tells whether a later description is of the same start of the same target; its counts begin anew with a start. */
    public boolean sameIncarnation(Target later) {
        return id.equals(later.id) && startedAtMillis == later.startedAtMillis && checkIns <= later.checkIns;
    }
}
