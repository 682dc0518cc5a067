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
 * Stands in for a model engine: chat completions in the OpenAI form with continuous batching, load and unload orders that
 * are acknowledged at once and take effect later, and a report whose load figures lag.
 *
 * <p>Nothing that a real engine would accept is refused; what goes wrong is journalled. Belongs to one reactor thread.
 */
public final class EngineStandin extends HostedStandin<EngineEvent, EngineFaults> {
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader ARTIFACT = HttpHeaders.of("X-Artifact");
    private static final HttpHeader PRIORITY = HttpHeaders.of("X-Priority");
    private static final HttpHeader RESUME_AFTER = HttpHeaders.of("X-Resume-After-Tokens");

    private final EngineSettings settings;
    private final Optional<Runnable> exit;
    private final String bootId = UUID.randomUUID().toString();
    private final EngineBatch batch;
    private final EngineMemory memory;
    private long highestFencingNumber = -1;
    private long nextRequest;

    private EngineStandin(
            NioReactor reactor, StandinAddresses addresses, EngineSettings settings, Optional<Runnable> exit) {
        super(
                reactor,
                new Journal<>(EngineEvent.class, addresses.journal()),
                new Faults<>(EngineFaults.class, EngineFaults.none()));
        this.settings = settings;
        this.exit = exit;
        this.batch = new EngineBatch(settings.maxRunning(), journal);
        WeightSource weights = new WeightSource(reactor, settings.storeAddress());
        this.memory = new EngineMemory(reactor, settings, journal, weights, batch::uses);
        RoutingServlet servlet = RoutingServlet.builder(reactor)
                .with(POST, "/v1/chat/completions", this::complete)
                .with(POST, "/v1/orders", StandinHost.bodyServlet(this::order))
                .with(GET, "/v1/report", request -> Promise.of(StandinJson.response(200, report())))
                .build();
        listen(addresses, servlet);
    }

    /** Starts an engine whose crash closes its connections; call it in the reactor's thread. */
    public static EngineStandin start(NioReactor reactor, StandinAddresses addresses, EngineSettings settings) {
        return new EngineStandin(reactor, addresses, settings, Optional.empty());
    }

    static EngineStandin startProcess(
            NioReactor reactor, StandinAddresses addresses, EngineSettings settings, Runnable exit) {
        return new EngineStandin(reactor, addresses, settings, Optional.of(exit));
    }

    @Override
    public void stop() {
        memory.die();
        super.stop();
    }

    /** Dies as a crashed process would: every connection closes and what was held is gone. */
    public void crash(String reason) {
        journal.add(new EngineEvent.Crashed(reason));
        batch.crash();
        exit.ifPresent(Runnable::run);
        memory.die();
        closeClients();
    }

    private EngineDialect.Report report() {
        EngineBatch.Load load = batch.load(settings.reportLagMillis());
        return new EngineDialect.Report(
                bootId,
                memory.held(),
                load.running(),
                load.queued(),
                settings.memoryBytes(),
                memory.usedBytes(),
                faults.get().leaving(),
                memory.nearCopies());
    }

    private HttpResponse order(byte[] body) {
        EngineDialect.Order order = StandinJson.read(body, EngineDialect.Order.class);
        if (settings.fencing() && order.fencingNumber() < highestFencingNumber) {
            journal.add(new EngineEvent.Ordered(order, EngineEvent.Effect.STALE));
            return StandinJson.response(409, new Refusal("stale", "a higher number was seen", highestFencingNumber));
        }
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        if (order.kind() == EngineDialect.OrderKind.LOAD && faults.get().refuseLoads()) {
            journal.add(new EngineEvent.Ordered(order, EngineEvent.Effect.REJECTED));
            return StandinJson.response(422, new Refusal("rejected", "a fault is set", highestFencingNumber));
        }
        EngineEvent.Effect effect = memory.carryOut(order);
        journal.add(new EngineEvent.Ordered(order, effect));
        if (order.kind() == EngineDialect.OrderKind.LOAD && effect == EngineEvent.Effect.STARTED) {
            dieInLoadWhenSet();
        }
        return StandinJson.response(202, new Refusal("accepted", "", highestFencingNumber));
    }

    private void dieInLoadWhenSet() {
        long afterMillis = faults.get().dieInLoadAfterMillis();
        if (afterMillis >= 0) {
            reactor.delayBackground(Math.max(1, afterMillis), () -> crash("died in the middle of a load"));
        }
    }

    private Promise<HttpResponse> complete(HttpRequest request) {
        JobHead head = new JobHead(
                request.getHeader(ARTIFACT),
                request.getHeader(REQUEST_ID),
                intHeader(request, RESUME_AFTER),
                intHeader(request, PRIORITY));
        return StandinHost.body(request).then(body -> {
            try {
                return start(job(head, body));
            } catch (PoplarWharfException e) {
                return Promise.of(StandinJson.response(400, StandinHost.Problem.of(e)));
            }
        });
    }

    private Promise<HttpResponse> start(EngineJob job) {
        if (!memory.serves(job.artifact())) {
            return Promise.of(notLoaded(job.artifact()));
        }
        return batch.enter(job).then(run -> {
            if (!memory.serves(job.artifact())) {
                run.end(EngineEvent.End.CANCELLED);
                return Promise.of(notLoaded(job.artifact()));
            }
            String marker = faults.get().crashMarker();
            if (!marker.isEmpty() && new String(job.body(), StandardCharsets.UTF_8).contains(marker)) {
                crash("a marked request");
                return StandinHost.noAnswer();
            }
            return Promise.of(answer(job, run));
        });
    }

    private HttpResponse answer(EngineJob job, EngineBatch.Run run) {
        EngineFaults now = faults.get();
        boolean stalls = now.stallNextStreams() > 0;
        if (stalls) {
            faults.update(EngineFaults::afterStall);
        }
        EngineAnswer.Pace pace = new EngineAnswer.Pace(
                settings.prefillMillis(), (long) (settings.tokenMillis() * now.slowTokenFactor()), stalls);
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, job.stream() ? "text/event-stream" : "application/json")
                .withBodyStream(new EngineAnswer(reactor, job, run, pace))
                .build();
    }

    private EngineJob job(JobHead head, byte[] body) {
        JsonNode json = StandinJson.tree(body);
        return new EngineJob(
                head.requestId == null ? "request-" + nextRequest++ : head.requestId,
                ArtifactId.parse(head.artifact == null ? json.path("model").asText() : head.artifact),
                body,
                json.path("stream").asBoolean(),
                json.path("max_tokens").asInt(settings.defaultTokens()),
                head.resumeAfterTokens,
                head.priority);
    }

    private static int intHeader(HttpRequest request, HttpHeader header) {
        String text = request.getHeader(header);
        try {
            return text == null ? 0 : Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static HttpResponse notLoaded(ArtifactId artifact) {
        return StandinJson.response(404, new StandinHost.Problem("not-loaded", artifact + " is not loaded"));
    }

    private record Refusal(String code, String reason, long highestFencingNumber) {}

    /** What a request's headers say, read before its body; nulls for absent headers. */
    private record JobHead(String artifact, String requestId, int resumeAfterTokens, int priority) {}
}
