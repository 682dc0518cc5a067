package org.poplarwharf.internal.holder;

import java.util.List;
import org.poplarwharf.internal.crash.RequestSuspects;
import org.poplarwharf.internal.crash.TargetCrash;

/** Exchanges suspects that have crashed targets with the connected nodes. */
public interface CrashListener {
    /** Called with crashes that a node has detected. */
    void crashesReported(List<TargetCrash> crashes);

    /** Called when a request that this node has granted was answered in full. */
    void runSucceeded(RequestSuspects suspects);

    /** Returns the crashes of refused suspects, for a node that has just connected. */
    List<TargetCrash> knownCrashes();
}
