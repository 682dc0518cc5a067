package org.poplarwharf.internal.state;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.state.CellStateView.AuthorLocation;
import org.poplarwharf.internal.state.CellStateView.CallClaim;
import org.poplarwharf.internal.state.CellStateView.Lease;
import org.poplarwharf.internal.state.CellStateView.Slot;

/**
 * The complete state of a cell in a form that can be encoded.
 *
 * <p>Invariant: every list is sorted by its keys, so that equal states have equal bytes. Immutable and thread-safe.
 *
 * @param adoptedVersion the version of the configuration that the cell follows
 * @param writers the encoded writer sequences of the stream
 */
record CellSnapshot(
        Optional<Lease> lease,
        long adoptedVersion,
        List<Slot> slots,
        List<String> excludedTargets,
        List<SuspectFingerprintTable.Entry> suspects,
        List<CallClaim> calls,
        List<AuthorLocation> authors,
        byte[] writers) {}
