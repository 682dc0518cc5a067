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
 * The body of a chat completion, made token by token: events for a streamed answer, else one JSON document after a space
 * for each token, so that a closed connection is noticed in both forms.
 *
 * <p>Invariant: the run's place is given back exactly once, at the end or when the connection closes. Belongs to one
 * reactor thread.
 */
final class EngineAnswer extends AbstractChannelSupplier<ByteBuf> {
    private static final int TOKENS_BEFORE_STALL = 2;
    private static final byte[] KEEP_OPEN = {' '};
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private final NioReactor reactor;
    private final EngineJob job;
    private final EngineBatch.Run run;
    private final Pace pace;
    private int nextToken;
    private Phase phase = Phase.TOKENS;

    EngineAnswer(NioReactor reactor, EngineJob job, EngineBatch.Run run, Pace pace) {
        this.reactor = reactor;
        this.job = job;
        this.run = run;
        this.pace = pace;
        this.nextToken = job.resumeAfterTokens();
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        return switch (phase) {
            case TOKENS -> token();
            case LAST -> last();
            case ENDED -> Promise.of(null);
        };
    }

    @Override
    protected void onClosed(Exception failure) {
        run.end(EngineEvent.End.CANCELLED);
    }

    private Promise<ByteBuf> token() {
        if (nextToken >= job.tokens()) {
            phase = Phase.LAST;
            return doGet();
        }
        int made = nextToken - job.resumeAfterTokens();
        if (pace.stalls() && made >= TOKENS_BEFORE_STALL) {
            return Promise.ofCallback(callback -> {});
        }
        long millis = made == 0 ? pace.prefillMillis() : pace.tokenMillis();
        Promise<Void> ready = millis == 0 ? Promise.complete() : Promises.delay(reactor, millis);
        return ready.map(ignored -> {
            int index = nextToken++;
            String token = TokenSource.token(job.body(), index);
            run.countToken();
            return ByteBuf.wrapForReading(job.stream() ? event(token, null, OptionalInt.of(index)) : KEEP_OPEN.clone());
        });
    }

    private Promise<ByteBuf> last() {
        phase = Phase.ENDED;
        run.end(EngineEvent.End.ANSWERED);
        return Promise.of(ByteBuf.wrapForReading(job.stream() ? lastEvents() : document()));
    }

    private byte[] lastEvents() {
        byte[] stop = event("", "stop", OptionalInt.empty());
        byte[] both = new byte[stop.length + DONE.length];
        System.arraycopy(stop, 0, both, 0, stop.length);
        System.arraycopy(DONE, 0, both, stop.length, DONE.length);
        return both;
    }

    private byte[] event(String content, String finishReason, OptionalInt tokenIndex) {
        Chunk chunk = new Chunk(
                job.requestId(),
                "chat.completion.chunk",
                job.artifact().toString(),
                List.of(new ChunkChoice(0, new Delta(content), finishReason)),
                tokenIndex.isPresent() ? tokenIndex.getAsInt() : null);
        return ("data: " + new String(StandinJson.write(chunk), StandardCharsets.UTF_8) + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    private byte[] document() {
        String text = TokenSource.text(job.body(), job.resumeAfterTokens(), job.tokens());
        return StandinJson.write(new Document(
                job.requestId(),
                "chat.completion",
                job.artifact().toString(),
                List.of(new DocumentChoice(0, new Message("assistant", text), "stop")),
                new Usage(job.tokens() - job.resumeAfterTokens())));
    }

    /** How fast an answer is made. */
    record Pace(long prefillMillis, long tokenMillis, boolean stalls) {}

    private enum Phase {
        TOKENS,
        LAST,
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
