package org.poplarwharf.plugins;

import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.util.List;

/**
 * The port to one kind of model engine: its reports, its orders and the form of its requests.
 *
 * <p>An instance belongs to one reactor thread and is called only from it. Addresses are {@code host:port}.
 */
public interface EngineDialect {
    /** Returns what the engine lists now; its load figures lag. */
    Promise<Report> report(String address);

    /**
     * Sends one order once, on a connection of its own, never repeated by the client.
     *
     * @return the engine's answer, which proves that the order has arrived and can't arrive again; fails when none came
     */
    Promise<OrderReply> sendOrder(String address, Order order);

    /** Returns the HTTP request that runs a chat completion on the engine. */
    HttpRequest completionRequest(String address, CompletionRequest completion);

    /** Makes dialects for a reactor. The extension point under which an engine protocol registers. */
    interface Factory {
        EngineDialect create(io.activej.reactor.nio.NioReactor reactor);
    }

    /** What an order asks for. */
    enum OrderKind {
        LOAD,
        UNLOAD
    }

    /**
     * An order to an engine. Loading what is loaded or loading, and unloading what is absent, changes nothing.
     *
     * @param fencingNumber the offset of the intent record that allows the order; grows with each order
     */
    record Order(OrderKind kind, ArtifactId artifact, String version, long sizeBytes, long fencingNumber) {}

    /** An engine's answer to an order. */
    sealed interface OrderReply {
        /** The order has arrived and is being carried out; the report tells when it is done. */
        record Accepted() implements OrderReply {}

        /** The engine fences and has seen a higher number; the order has no effect, now or later. */
        record Stale(long highestFencingNumber) implements OrderReply {}

        /** The engine won't carry the order out. */
        record Rejected(String reason) implements OrderReply {}
    }

    /** How far an artifact is on an engine. */
    enum ArtifactState {
        LOADING,
        LOADED,
        UNLOADING
    }

    /** One artifact that an engine holds memory for. */
    record HeldArtifact(ArtifactId artifact, String version, ArtifactState state, long sizeBytes, double loadedFraction) {}

    /**
     * What an engine says of itself.
     *
     * @param bootId changes whenever the engine's process starts
     * @param nearCopies checkpoints cached in the VM's memory or on its local disk, quick to load
     */
    record Report(
            String bootId,
            List<HeldArtifact> held,
            int runningRequests,
            int queuedRequests,
            long memoryBytes,
            long usedBytes,
            boolean leaving,
            List<ArtifactId> nearCopies) {}

    /**
     * A request to be run.
     *
     * @param body the caller's JSON body
     * @param priority higher runs first
     * @param resumeAfterTokens how many tokens the caller already has, zero at first
     * @param deadlineMillis how long the engine may take
     */
    record CompletionRequest(
            String requestId,
            ArtifactId artifact,
            byte[] body,
            int priority,
            int resumeAfterTokens,
            long deadlineMillis) {}
}
