package org.poplarwharf.internal.holder;

import java.util.List;

/** Receives changes of the holder that are observed on its connection. */
public interface HolderListener {
    /** Called when this node has connected to a holder. */
    void connected();

    /** Called with some nodes that reach targets, as the holder, which may be this node, knows them. */
    void peersReported(List<HolderMessage.PeerState> peers);

    /** Called when the holder's process has ended or another process runs at its address. */
    void holderEnded(String incarnation);

    /** Called with the number of nodes that the holder, which may be this node, is connected to, itself included. */
    void nodeCountReported(int nodeCount);

    /** Called with a message of the holder about client accounts. */
    void accountMessageReceived(AccountMessage message);

    /** Called with the suspects that the holder refuses, or no longer refuses. */
    void crashesAnnounced(HolderMessage.TargetCrashes announcement);
}
