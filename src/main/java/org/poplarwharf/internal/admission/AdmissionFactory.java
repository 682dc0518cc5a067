package org.poplarwharf.internal.admission;

import org.poplarwharf.internal.state.CellStateView;

/**
 * Creates the admission control of a cell when this node becomes its lease holder. Must be called from the control thread
 * only.
 */
public interface AdmissionFactory {
    /** Creates the admission control of a cell. */
    Admission create(String cell, ReplicaPool replicas, CellStateView state);
}
