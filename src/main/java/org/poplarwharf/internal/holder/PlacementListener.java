package org.poplarwharf.internal.holder;

/** Receives the holder's decisions on requests of its own node. Called on the event loop. */
interface PlacementListener {
    void granted(String key, String targetId, String backupId);

    void refused(String key, String reason, long retryAfterMillis);
}
