package org.poplarwharf.internal.place;

import java.util.Optional;
import org.poplarwharf.internal.admission.Grant;

/**
 * A permit to run one request on a target, with its issuer. Immutable and thread-safe.
 *
 * @param cell the cell that granted it; empty if it was acquired without a lease holder
 * @param peerAddress address of the lease holder if it is another node; empty if it is this node or there is none
 */
public record Permit(Optional<String> cell, Optional<String> peerAddress, Grant grant) {}
