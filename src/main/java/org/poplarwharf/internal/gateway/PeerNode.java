package org.poplarwharf.internal.gateway;

import java.net.InetSocketAddress;

/**
 * Another node that takes requests of nodes which reach no target. Immutable and thread-safe.
 *
 * @param address the address at which it takes such requests
 */
public record PeerNode(String nodeId, InetSocketAddress address) {}
