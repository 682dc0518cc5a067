package org.poplarwharf.internal.peer;

/**
 * What a node says of itself to others; a port of zero is replaced by the one that the system chose. Immutable and
 * thread-safe.
 */
public record PeerIdentity(String nodeId, long incarnation, String zone, String peerAddress) {}
