package org.poplarwharf.internal.cell;

import org.poplarwharf.internal.admission.Admission;
import org.poplarwharf.internal.admission.Replicas;
import org.poplarwharf.internal.state.CellStateView;

/**
 * Makes the admission of a cell. Offered by the role that admits requests.
 *
 * <p>Called from the control thread only.
 */
@FunctionalInterface
public interface AdmissionFactory {
    Admission create(String cell, Replicas replicas, CellStateView state);
}
