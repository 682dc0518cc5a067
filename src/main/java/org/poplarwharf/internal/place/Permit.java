package org.poplarwharf.internal.place;

import java.util.Optional;
import org.poplarwharf.internal.admission.Grant;

/**
 * A place on a target and who gave it. Immutable and thread-safe.
 *
 * @param cell the cell that granted it; empty when it was taken without a holder
 * @param peerAddress the holder at another node; empty for this node or none
 */
public record Permit(Optional<String> cell, Optional<String> peerAddress, Grant grant) {}
