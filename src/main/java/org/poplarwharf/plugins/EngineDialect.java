package org.poplarwharf.plugins;

import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.util.List;

/**
 * The protocol of one kind of model engine: reads reports, sends orders and builds requests.
 *
 * <p>An instance is confined to one reactor thread. Addresses are {@code host:port}.
 */
public interface EngineDialect {
    /** Requests the engine's current report. The load figures in it lag behind the actual load. */
    Promise<Report> report(String address);

    /**
     * Sends an order once, on a connection of its own; the HTTP client never retries it.
     *
     * @return the engine's response, which proves that the order has arrived and can't arrive a second time; fails if
     *     there is no response
     */
    Promise<OrderReply> sendOrder(String address, Order order);

    /** Returns the HTTP request that runs a chat completion on the engine. */
    HttpRequest completionRequest(String address, CompletionRequest request);

    /** Creates dialects for a reactor. The extension point that engine protocols register under. */
    interface Factory {
        EngineDialect create(io.activej.reactor.nio.NioReactor reactor);
    }

    /** The operation that an order requests. */
    enum OrderKind {
        LOAD,
        UNLOAD
    }

    /**
     * An order to an engine. Orders are idempotent: loading an artifact that is loaded or loading, or unloading one that is
     * absent, has no effect.
     *
     * @param fencingNumber the offset of the intent record that permits the order; increases with each order
     */
    record Order(OrderKind kind, ArtifactId artifact, String version, long sizeBytes, long fencingNumber) {}

    /** An engine's response to an order. */
    sealed interface OrderReply {
        /** The order was accepted and is being executed; the report shows when it has completed. */
        record Accepted() implements OrderReply {}

        /** The engine checks fencing numbers and has seen a higher one; the order has no effect, now or later. */
        record Stale(long highestFencingNumber) implements OrderReply {}

        /** The engine refuses to execute the order. */
        record Rejected(String reason) implements OrderReply {}
    }

    /** The state of an artifact on an engine. */
    enum ArtifactState {
        LOADING,
        LOADED,
        UNLOADING
    }

    /** An artifact that takes memory on an engine. */
    record HeldArtifact(
            ArtifactId artifact, String version, ArtifactState state, long sizeBytes, double loadedFraction) {}

    /**
     * An engine's report of its state.
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
     * A chat completion to run on an engine.
     *
     * @param body the caller's JSON body
     * @param priority requests with a higher priority run first
     * @param resumeAfterTokens the number of tokens that the caller already has; zero on the first attempt
     * @param deadlineMillis the time that the engine may take, in milliseconds from now
     */
    record CompletionRequest(
            String requestId,
            ArtifactId artifact,
            byte[] body,
            int priority,
            int resumeAfterTokens,
            long deadlineMillis) {}
}
