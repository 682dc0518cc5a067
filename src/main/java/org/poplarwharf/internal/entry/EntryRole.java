package org.poplarwharf.internal.entry;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import io.activej.net.PrimaryServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.CrossLoopCalls;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.peer.PeerAddress;
import org.poplarwharf.internal.place.AdmissionClient;
import org.poplarwharf.plugins.EngineDialect;

/**
 * Serves the HTTP requests of callers. One acceptor on the first traffic thread distributes connections to HTTP servers,
 * one on each traffic thread.
 *
 * <p>Invariants: once {@link #drain} has completed, no connection is accepted, every accepted request has got its
 * complete response, and all connections are closed. {@link #stop} ends each request that is still in flight with a
 * failure. The role is confined to the control thread, each server to its traffic thread.
 */
public final class EntryRole implements Role {
    /** Time for the last responses to be sent when the role stops. */
    private static final Duration LAST_RESPONSES_TIMEOUT = Duration.ofMillis(1_000);

    private final NodeContext context;
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<CallerConnections> connections = new ArrayList<>();
    private final List<TrafficThreadContext> threads = new ArrayList<>();
    private final DrainState drainState = new DrainState();
    private final RequestIdGenerator requestIds;
    private PrimaryServer acceptor;
    private volatile String listenAddress = "";

    public EntryRole(NodeContext context) {
        this.context = context;
        this.requestIds = new RequestIdGenerator(context.settings().nodeId(), context.incarnation());
    }

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public Promise<Void> start() {
        AdmissionClient admission = context.findService(AdmissionClient.class).orElseThrow();
        CurrentConfig config = new CurrentConfig(
                context.controlLoop(), context.findService(ConfigView.class).orElseThrow());
        config.follow();
        CallRouter calls = HolderCallRouter.create(context, requestIds);
        for (Eventloop loop : context.trafficLoops()) {
            TrafficThreadContext thread =
                    new TrafficThreadContext(context, loop, requestIds, admission, createDialect(loop), drainState);
            threads.add(thread);
            CallerConnections accepted = new CallerConnections(loop);
            connections.add(accepted);
            servers.add(createServer(loop, new CallerServlet(thread, config, calls), accepted));
        }
        Eventloop first = context.trafficLoops().get(0);
        return CrossLoopCalls.call(context.controlLoop(), first, this::listen);
    }

    /** Returns the address that callers connect to, with the port that the operating system assigned. */
    public String listenAddress() {
        return listenAddress;
    }

    @Override
    public Promise<Void> drain() {
        drainState.begin(context.clock().nowMillis() + context.settings().drainMillis());
        threads.forEach(thread -> thread.loop().execute(thread.requestsInFlight()::drain));
        return Promises.delay(Duration.ofMillis(context.settings().drainNoticeMillis()))
                .then(this::stopAccepting)
                .then(this::closeConnections);
    }

    @Override
    public Promise<Void> stop() {
        drainState.stop();
        return stopAccepting()
                .then(() -> onTrafficThreads(thread -> thread.requestsInFlight().stop()))
                .then(() -> Promises.timeout(LAST_RESPONSES_TIMEOUT, closeConnections()))
                .then((closed, timedOut) ->
                        onTrafficThreads(thread -> thread.connections().close()));
    }

    private Promise<Void> onTrafficThreads(Consumer<TrafficThreadContext> action) {
        return Promises.all(threads.stream()
                .map(thread -> CrossLoopCalls.call(context.controlLoop(), thread.loop(), () -> {
                    action.accept(thread);
                    return Promise.complete();
                })));
    }

    /** Accepts the connections that have arrived, and no other one. */
    private Promise<Void> stopAccepting() {
        Eventloop first = context.trafficLoops().get(0);
        return CrossLoopCalls.call(
                context.controlLoop(),
                first,
                () -> LoopTurn.next(first).then(() -> acceptor.close().toVoid()));
    }

    private Promise<Void> closeConnections() {
        return Promises.all(connections.stream()
                .map(ofThread -> CrossLoopCalls.call(context.controlLoop(), ofThread.loop(), ofThread::closeAll)));
    }

    private Promise<Void> listen() {
        NodeSettings settings = context.settings();
        acceptor = PrimaryServer.builder(context.trafficLoops().get(0), servers)
                .withListenAddress(PeerAddress.parse(settings.listenAddress()))
                .build();
        try {
            acceptor.listen();
        } catch (IOException e) {
            return Promise.ofException(Reporter.addressUnusable(settings.listenAddress(), e));
        }
        listenAddress = PeerAddress.format(
                PeerAddress.parse(settings.listenAddress()),
                acceptor.getBoundAddresses().get(0).getPort());
        return Promise.complete();
    }

    private HttpServer createServer(Eventloop loop, CallerServlet servlet, CallerConnections accepted) {
        return accepted.track(HttpServer.builder(loop, servlet))
                .withReadWriteTimeout(Duration.ZERO)
                .withHttpErrorFormatter(this::onHttpError)
                .build();
    }

    private Promise<io.activej.http.HttpResponse> onHttpError(Exception e) {
        PoplarWharfException failure = e instanceof io.activej.http.MalformedHttpException
                ? CallerReporter.invalidRequest("The request is not well-formed HTTP.", "Use an HTTP client library.")
                : CallerResponses.toFailure(e);
        return Promise.of(CallerResponses.problem(failure, requestIds.next(), true));
    }

    private EngineDialect createDialect(Eventloop loop) {
        String name = context.settings().engineDialect();
        Optional<EngineDialect.Factory> factory = context.plugins().find(EngineDialect.Factory.class, name);
        return factory.orElseThrow(
                        () -> Reporter.settingsInvalid(List.of("There is no engine dialect named " + name + ".")))
                .create(loop);
    }
}
