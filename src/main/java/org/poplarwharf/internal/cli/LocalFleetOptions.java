package org.poplarwharf.internal.cli;

import java.util.List;

/**
 * What a local fleet is made of. Immutable and thread-safe.
 *
 * @param nodes how many nodes run
 * @param nodeFlags further settings of each node, as on its command line
 * @param pace how fast the stand-ins are
 */
record LocalFleetOptions(int nodes, List<String> nodeFlags, StandinPace pace) {
    private static final int QUICKSTART_NODES = 3;

    /** Returns three nodes with default settings. */
    static LocalFleetOptions quickstart() {
        return new LocalFleetOptions(QUICKSTART_NODES, List.of(), StandinPace.quickstart());
    }
}
