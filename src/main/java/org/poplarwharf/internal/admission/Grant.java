package org.poplarwharf.internal.admission;

/**
 * A permit to run one request on a target, valid until it is released, its node is lost, or it expires. Immutable and
 * thread-safe.
 *
 * @param grantId unique id
 * @param address network address of the target
 * @param priority the priority to pass to the engine
 * @param coldStart whether the request had to wait for a load
 */
public record Grant(String grantId, String target, String address, int priority, boolean coldStart) {}
