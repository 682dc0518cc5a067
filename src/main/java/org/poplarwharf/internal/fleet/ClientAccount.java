package org.poplarwharf.internal.fleet;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * A client account, to which requests belong that carry one of its keys. Immutable and thread-safe.
 *
 * @param name unique among the accounts of a plan; targets get it with each request
 * @param priority priority of all its requests, which precedes that of their routes; zero is the highest
 * @param quota what its requests may use; empty if that is not limited
 */
public record ClientAccount(String name, OptionalInt priority, Optional<Quota> quota) {}
