/**
 * A randomized soak test of gateway processes: injects faults from outside, determined by a seed, and checks what callers
 * and targets observed. A caller's request is a {@link org.poplarwharf.soak.RecordedCall}, its run at a target a
 * {@link org.poplarwharf.soak.TargetActivity.Run}; {@link org.poplarwharf.soak.InvariantChecker} compares the two.
 */
package org.poplarwharf.soak;
