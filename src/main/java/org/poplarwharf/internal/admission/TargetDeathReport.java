package org.poplarwharf.internal.admission;

import java.util.List;

/**
 * The fingerprints that were in flight at a target when it died. Immutable and thread-safe.
 *
 * @param soleSuspect the one suspect among them that had been run apart from every other suspect; empty when there was
 *     none or more than one
 * @param others all other fingerprints
 */
public record TargetDeathReport(List<String> soleSuspect, List<String> others) {}
