package org.poplarwharf.internal.http;

/** A request that is on its way to a target. Confined to its event loop. */
public interface SentRequest {
    /** Gives the request up: closes its connection, upon which the target stops. The listener hears no more. */
    void cancel();

    /** Stops or goes on reading the answer, for a caller that takes it slowly. */
    void reading(boolean on);
}
