package org.poplarwharf.internal.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;

/**
 * The body of a chat completion response, produced token by token. A streamed response sends one event per token. Any other
 * response sends one space per token and then a JSON document; the spaces reveal a closed connection while tokens are
 * still being produced.
 *
 * <p>Invariant: the run leaves the engine's batch exactly once, at the end of the response or when the connection closes.
 * Confined to one reactor thread.
 */
final class EngineResponseBody extends AbstractChannelSupplier<ByteBuf> {
    private static final int TOKENS_BEFORE_STALL = 2;
    private static final byte[] TOKEN_PLACEHOLDER = {' '};
    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private final NioReactor reactor;
    private final EngineCompletion completion;
    private final EngineBatch.BatchRun run;
    private final TokenTiming timing;
    private int nextToken;
    private Phase phase = Phase.TOKENS;

    EngineResponseBody(NioReactor reactor, EngineCompletion completion, EngineBatch.BatchRun run, TokenTiming timing) {
        this.reactor = reactor;
        this.completion = completion;
        this.run = run;
        this.timing = timing;
        this.nextToken = completion.resumeAfterTokens();
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        return switch (phase) {
            case TOKENS -> nextTokenChunk();
            case FINAL_CHUNK -> finalChunk();
            case ENDED -> Promise.of(null);
        };
    }

    @Override
    protected void onClosed(Exception failure) {
        run.end(EngineEvent.End.CANCELLED);
    }

    private Promise<ByteBuf> nextTokenChunk() {
        if (nextToken >= completion.tokens()) {
            phase = Phase.FINAL_CHUNK;
            return doGet();
        }
        int producedTokens = nextToken - completion.resumeAfterTokens();
        if (timing.stalls() && producedTokens >= TOKENS_BEFORE_STALL) {
            return Promise.ofCallback(callback -> {});
        }
        long delayMillis = producedTokens == 0 ? timing.prefillMillis() : timing.tokenMillis();
        Promise<Void> delay = delayMillis == 0 ? Promise.complete() : Promises.delay(reactor, delayMillis);
        return delay.map(ignored -> {
            int index = nextToken++;
            String text = TokenGenerator.token(completion.body(), index);
            run.countToken();
            return ByteBuf.wrapForReading(
                    completion.stream() ? event(text, null, OptionalInt.of(index)) : TOKEN_PLACEHOLDER.clone());
        });
    }

    private Promise<ByteBuf> finalChunk() {
        phase = Phase.ENDED;
        run.end(EngineEvent.End.ANSWERED);
        return Promise.of(ByteBuf.wrapForReading(completion.stream() ? finalEvents() : document()));
    }

    private byte[] finalEvents() {
        byte[] stopEvent = event("", "stop", OptionalInt.empty());
        byte[] events = new byte[stopEvent.length + DONE_EVENT.length];
        System.arraycopy(stopEvent, 0, events, 0, stopEvent.length);
        System.arraycopy(DONE_EVENT, 0, events, stopEvent.length, DONE_EVENT.length);
        return events;
    }

    private byte[] event(String content, String finishReason, OptionalInt tokenIndex) {
        Chunk chunk = new Chunk(
                completion.requestId(),
                "chat.completion.chunk",
                completion.artifact().toString(),
                List.of(new ChunkChoice(0, new Delta(content), finishReason)),
                tokenIndex.isPresent() ? tokenIndex.getAsInt() : null);
        return ("data: " + new String(StandinJson.write(chunk), StandardCharsets.UTF_8) + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    private byte[] document() {
        String text = TokenGenerator.text(completion.body(), completion.resumeAfterTokens(), completion.tokens());
        return StandinJson.write(new Document(
                completion.requestId(),
                "chat.completion",
                completion.artifact().toString(),
                List.of(new DocumentChoice(0, new Message("assistant", text), "stop")),
                new Usage(completion.tokens() - completion.resumeAfterTokens())));
    }

    /**
     * The timing of a response. Immutable and thread-safe.
     *
     * @param prefillMillis time before the first token
     * @param tokenMillis time between tokens
     * @param stalls whether the response stops permanently after two tokens
     */
    record TokenTiming(long prefillMillis, long tokenMillis, boolean stalls) {}

    private enum Phase {
        TOKENS,
        FINAL_CHUNK,
        ENDED
    }

    private record Chunk(
            String id,
            String object,
            String model,
            List<ChunkChoice> choices,

            @JsonProperty("token_index") @JsonInclude(JsonInclude.Include.NON_NULL)
            Integer tokenIndex) {}

    private record ChunkChoice(
            int index,
            Delta delta,
            @JsonProperty("finish_reason") String finishReason) {}

    private record Delta(String content) {}

    private record Document(String id, String object, String model, List<DocumentChoice> choices, Usage usage) {}

    private record DocumentChoice(
            int index,
            Message message,
            @JsonProperty("finish_reason") String finishReason) {}

    private record Message(String role, String content) {}

    private record Usage(@JsonProperty("completion_tokens") int completionTokens) {}
}
