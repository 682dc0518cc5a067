package org.poplarwharf.internal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;

/**
 * Finds changes to what may not change once it is accepted, since records of calls and loads are kept by cell: the set
 * of cells, the cell of a zone, the zone of a target.
 *
 * <p>Stateless and thread-safe.
 */
final class FixedParts {
    private FixedParts() {}

    /** Returns a reason for each change that is not allowed. */
    static List<String> violations(FleetConfig before, FleetConfig after) {
        List<String> reasons = new ArrayList<>();
        if (before.cells().isEmpty()) {
            return reasons;
        }
        if (!cellNames(before).equals(cellNames(after))) {
            reasons.add("the set of cells can't change once it is accepted; it is " + cellNames(before));
        }
        for (CellSpec cell : before.cells()) {
            for (String zone : cell.zones()) {
                cellOfZone(after, zone)
                        .filter(now -> !now.equals(cell.name()))
                        .ifPresent(now -> reasons.add(
                                "zone '" + zone + "' can't move from cell '" + cell.name() + "' to '" + now + "'"));
            }
        }
        for (TargetSpec target : before.targets()) {
            after.target(target.name())
                    .filter(now -> !now.zone().equals(target.zone()))
                    .ifPresent(now -> reasons.add("target '" + target.name() + "' can't move from zone '"
                            + target.zone() + "' to '" + now.zone() + "'; give it a new name"));
        }
        return reasons;
    }

    private static Set<String> cellNames(FleetConfig config) {
        return config.cells().stream().map(CellSpec::name).collect(Collectors.toCollection(java.util.TreeSet::new));
    }

    private static Optional<String> cellOfZone(FleetConfig config, String zone) {
        return config.cells().stream()
                .filter(cell -> cell.zones().contains(zone))
                .map(CellSpec::name)
                .findFirst();
    }
}
