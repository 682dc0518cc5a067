package org.poplarwharf.internal.cli;

import java.util.List;

/**
 * The options of a local fleet. Immutable and thread-safe.
 *
 * @param nodes number of nodes
 * @param nodeFlags additional command line options of each node
 * @param performance performance of the stand-ins
 */
record LocalFleetOptions(int nodes, List<String> nodeFlags, StandinPerformance performance) {
    private static final int QUICKSTART_NODE_COUNT = 3;

    /** Returns three nodes with default settings. */
    static LocalFleetOptions quickstart() {
        return new LocalFleetOptions(QUICKSTART_NODE_COUNT, List.of(), StandinPerformance.quickstart());
    }
}
