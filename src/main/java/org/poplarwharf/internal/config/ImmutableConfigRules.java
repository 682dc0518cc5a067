package org.poplarwharf.internal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;

/**
 * Finds changes to parts of the configuration that are immutable once accepted: the set of cells, the cell of a zone
 * and the zone of a target. They are immutable because records of calls and loads are stored per cell.
 *
 * <p>Stateless and thread-safe.
 */
final class ImmutableConfigRules {
    private ImmutableConfigRules() {}

    /** Returns a message for each change that is not allowed. */
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
                        .filter(current -> !current.equals(cell.name()))
                        .ifPresent(current -> reasons.add(
                                "zone '" + zone + "' can't move from cell '" + cell.name() + "' to '" + current + "'"));
            }
        }
        for (TargetSpec target : before.targets()) {
            after.target(target.name())
                    .filter(current -> !current.zone().equals(target.zone()))
                    .ifPresent(current -> reasons.add("target '" + target.name() + "' can't move from zone '"
                            + target.zone() + "' to '" + current.zone() + "'; give it a new name"));
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
