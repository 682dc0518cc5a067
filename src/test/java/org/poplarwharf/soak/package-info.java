/**
 * A randomized soak of gateways as processes: faults from outside by a seed, and the check of what callers and targets
 * saw. A caller's request is a {@link org.poplarwharf.soak.Call}, what a target did with it a
 * {@link org.poplarwharf.soak.Runs.Run}; {@link org.poplarwharf.soak.Promises} compares the two.
 */
package org.poplarwharf.soak;
