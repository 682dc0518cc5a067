package org.poplarwharf.internal.admission;

import org.poplarwharf.internal.state.CellStateView;

/**
 * Makes the admission of a cell when this node becomes its holder. Called from the control thread only.
 */
public interface AdmissionFactory {
    Admission create(String cell, ReplicaPool replicas, CellStateView state);
}
