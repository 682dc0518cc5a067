package org.poplarwharf.internal.admission;

import org.poplarwharf.internal.state.CellStateView;

/**
 * Creates the admission controller of a cell when this node becomes its lease holder. Must be called from the control
 * thread only.
 */
public interface AdmissionControllerFactory {
    /** Creates the admission controller of a cell. */
    AdmissionController create(String cell, ReplicaPool replicas, CellStateView state);
}
