package org.poplarwharf.internal.standin;

import static io.activej.http.HttpMethod.GET;
import static io.activej.http.HttpMethod.POST;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;

/**
 * Stands in for a model engine: serves chat completions in the OpenAI format with continuous batching, acknowledges load and
 * unload orders immediately and executes them asynchronously, and serves a report whose load figures lag.
 *
 * <p>Accepts everything that a real engine accepts; problems such as exceeded memory are journalled instead of refused.
 * Confined to one reactor thread.
 */
public final class EngineStandin extends HttpStandin<EngineEvent, EngineFaults> {
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader ARTIFACT = HttpHeaders.of("X-Artifact");
    private static final HttpHeader PRIORITY = HttpHeaders.of("X-Priority");
    private static final HttpHeader RESUME_AFTER = HttpHeaders.of("X-Resume-After-Tokens");

    private final EngineSettings settings;
    private final Optional<Runnable> exitProcess;
    private final String bootId = UUID.randomUUID().toString();
    private final EngineBatch batch;
    private final EngineMemory memory;
    private long highestFencingNumber = -1;
    private long nextRequestNumber;

    private EngineStandin(
            NioReactor reactor, StandinAddresses addresses, EngineSettings settings, Optional<Runnable> exitProcess) {
        super(
                reactor,
                new Journal<>(EngineEvent.class, addresses.journal()),
                new ActiveFaults<>(EngineFaults.class, EngineFaults.none()));
        this.settings = settings;
        this.exitProcess = exitProcess;
        this.batch = new EngineBatch(settings.maxRunning(), journal);
        WeightStoreClient weightStore = new WeightStoreClient(reactor, settings.storeAddress());
        this.memory = new EngineMemory(reactor, settings, journal, weightStore, batch::isInUse);
        RoutingServlet servlet = RoutingServlet.builder(reactor)
                .with(POST, "/v1/chat/completions", this::completeChat)
                .with(POST, "/v1/orders", StandinServers.bodyServlet(this::order))
                .with(GET, "/v1/report", request -> Promise.of(StandinJson.response(200, report())))
                .build();
        listen(addresses, servlet);
    }

    /** Starts an engine whose crash only closes its client connections. Must be called on the reactor thread. */
    public static EngineStandin start(NioReactor reactor, StandinAddresses addresses, EngineSettings settings) {
        return new EngineStandin(reactor, addresses, settings, Optional.empty());
    }

    /** Starts an engine whose crash also runs {@code exitProcess}, which ends the process. Must be called on the reactor thread. */
    static EngineStandin startAsProcess(
            NioReactor reactor, StandinAddresses addresses, EngineSettings settings, Runnable exitProcess) {
        return new EngineStandin(reactor, addresses, settings, Optional.of(exitProcess));
    }

    @Override
    public void stop() {
        memory.discardAll();
        super.stop();
    }

    /** Crashes like a process would: all client connections close and all loaded artifacts are lost. */
    public void crash(String reason) {
        journal.add(new EngineEvent.Crashed(reason));
        batch.crash();
        exitProcess.ifPresent(Runnable::run);
        memory.discardAll();
        closeClientConnections();
    }

    private EngineDialect.Report report() {
        EngineBatch.LoadSample load = batch.loadBefore(settings.reportLagMillis());
        return new EngineDialect.Report(
                bootId,
                memory.heldArtifacts(),
                load.running(),
                load.queued(),
                settings.memoryBytes(),
                memory.usedBytes(),
                faults.get().leaving(),
                memory.nearCopies());
    }

    private HttpResponse order(byte[] body) {
        EngineDialect.Order order = StandinJson.read(body, EngineDialect.Order.class);
        if (settings.fencingEnabled() && order.fencingNumber() < highestFencingNumber) {
            journal.add(new EngineEvent.OrderReceived(order, EngineEvent.Effect.STALE));
            return StandinJson.response(
                    409, new OrderResponse("stale", "a higher number was seen", highestFencingNumber));
        }
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        if (order.kind() == EngineDialect.OrderKind.LOAD && faults.get().refuseLoads()) {
            journal.add(new EngineEvent.OrderReceived(order, EngineEvent.Effect.REJECTED));
            return StandinJson.response(422, new OrderResponse("rejected", "a fault is set", highestFencingNumber));
        }
        EngineEvent.Effect effect = memory.execute(order);
        journal.add(new EngineEvent.OrderReceived(order, effect));
        if (order.kind() == EngineDialect.OrderKind.LOAD && effect == EngineEvent.Effect.STARTED) {
            scheduleCrashDuringLoad();
        }
        return StandinJson.response(202, new OrderResponse("accepted", "", highestFencingNumber));
    }

    private void scheduleCrashDuringLoad() {
        long afterMillis = faults.get().dieInLoadAfterMillis();
        if (afterMillis >= 0) {
            reactor.delayBackground(Math.max(1, afterMillis), () -> crash("died in the middle of a load"));
        }
    }

    private Promise<HttpResponse> completeChat(HttpRequest request) {
        RequestHeaders headers = new RequestHeaders(
                request.getHeader(ARTIFACT),
                request.getHeader(REQUEST_ID),
                intHeaderOrZero(request, RESUME_AFTER),
                intHeaderOrZero(request, PRIORITY));
        return StandinServers.readBody(request).then(body -> {
            try {
                return runWhenLoaded(parseCompletion(headers, body));
            } catch (PoplarWharfException e) {
                return Promise.of(StandinJson.response(400, StandinServers.Problem.of(e)));
            }
        });
    }

    private Promise<HttpResponse> runWhenLoaded(EngineCompletion completion) {
        if (!memory.canServe(completion.artifact())) {
            return Promise.of(notLoaded(completion.artifact()));
        }
        return batch.submit(completion).then(run -> {
            if (!memory.canServe(completion.artifact())) {
                run.end(EngineEvent.End.CANCELLED);
                return Promise.of(notLoaded(completion.artifact()));
            }
            String marker = faults.get().crashMarker();
            if (!marker.isEmpty() && new String(completion.body(), StandardCharsets.UTF_8).contains(marker)) {
                crash("a marked request");
                return StandinServers.neverRespond();
            }
            return Promise.of(respond(completion, run));
        });
    }

    private HttpResponse respond(EngineCompletion completion, EngineBatch.BatchRun run) {
        EngineFaults currentFaults = faults.get();
        boolean stalls = currentFaults.stallNextStreams() > 0;
        if (stalls) {
            faults.update(EngineFaults::withOneStallUsed);
        }
        EngineResponseBody.TokenTiming timing = new EngineResponseBody.TokenTiming(
                settings.prefillMillis(), (long) (settings.tokenMillis() * currentFaults.slowTokenFactor()), stalls);
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, completion.stream() ? "text/event-stream" : "application/json")
                .withBodyStream(new EngineResponseBody(reactor, completion, run, timing))
                .build();
    }

    private EngineCompletion parseCompletion(RequestHeaders headers, byte[] body) {
        JsonNode json = StandinJson.readTree(body);
        return new EngineCompletion(
                headers.requestId == null ? "request-" + nextRequestNumber++ : headers.requestId,
                ArtifactId.parse(headers.artifact == null ? json.path("model").asText() : headers.artifact),
                body,
                json.path("stream").asBoolean(),
                json.path("max_tokens").asInt(settings.defaultTokens()),
                headers.resumeAfterTokens,
                headers.priority);
    }

    private static int intHeaderOrZero(HttpRequest request, HttpHeader header) {
        String text = request.getHeader(header);
        try {
            return text == null ? 0 : Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static HttpResponse notLoaded(ArtifactId artifact) {
        return StandinJson.response(404, new StandinServers.Problem("not-loaded", artifact + " is not loaded"));
    }

    /** The response to an order, accepted or not. */
    private record OrderResponse(String code, String reason, long highestFencingNumber) {}

    /** Header values of a request, read before its body; absent text headers are null. */
    private record RequestHeaders(String artifact, String requestId, int resumeAfterTokens, int priority) {}
}
