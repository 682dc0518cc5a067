package org.poplarwharf.internal.cell;

import java.util.List;

/**
 * Knows what ran on a target when it died.
 *
 * <p>Called from the control thread only.
 */
@FunctionalInterface
public interface TargetDeathListener {
    /** Returns the fingerprints of the requests in flight at a target that has just died. */
    List<String> died(String target);
}
