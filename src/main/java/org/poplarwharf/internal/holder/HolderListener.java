package org.poplarwharf.internal.holder;

import java.util.List;
import java.util.Optional;

/** Receives changes of the holder that are observed on its connection. */
public interface HolderListener {
    /** Called when this node has connected to a holder. */
    void connected();

    /** Called with some nodes that reach targets, as the holder, which may be this node, knows them. */
    void peersReported(List<HolderMessage.PeerState> peers);

    /** Called when the holder's process has ended or another process runs at its address. */
    void holderEnded(String incarnation);

    /**
     * The nodes that the holder, which may be this node, is connected to.
     *
     * @param count their number, the holder included
     * @param position that of this node among the ids of all of them in order, from zero, if the holder states it
     */
    record Nodes(int count, Optional<Integer> position) {}

    /** Called with the nodes that the holder knows. */
    void nodesReported(Nodes nodes);

    /** Called with a message of the holder about client accounts. */
    void accountMessageReceived(AccountMessage message);

    /** Called with the suspects that the holder refuses, or no longer refuses. */
    void crashesAnnounced(HolderMessage.TargetCrashes announcement);
}
