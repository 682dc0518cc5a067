package org.poplarwharf.internal.admission;

import java.util.List;

/**
 * The fingerprints that were in flight at a target when it died. Immutable and thread-safe.
 *
 * @param soleSuspect the fingerprint that was already a suspect and ran without any other suspect; empty if no
 *     suspect or several were in flight
 * @param others all other fingerprints in flight
 */
public record TargetDeathReport(List<String> soleSuspect, List<String> others) {}
