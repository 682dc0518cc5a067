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
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.Crossing;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.peer.PeerAddress;
import org.poplarwharf.internal.place.PlaceSource;
import org.poplarwharf.plugins.EngineDialect;

/**
 * The callers' side of a node: one acceptor on the first traffic thread shares connections among servers on all of them.
 *
 * <p>Invariant: once {@link #drain} is done no connection is accepted, and every request that was taken was answered
 * whole. The role belongs to the control thread, each server to its traffic thread.
 */
public final class EntryRole implements Role {
    private static final long IDLE_CONNECTION_GRACE_MILLIS = 200;
    private static final Duration IDLE_POLL_INTERVAL = Duration.ofMillis(20);

    private final NodeContext context;
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<TrafficThreadContext> threads = new ArrayList<>();
    private final DrainState drain = new DrainState();
    private final RequestIdGenerator ids;
    private PrimaryServer acceptor;
    private volatile String listenAddress = "";

    public EntryRole(NodeContext context) {
        this.context = context;
        this.ids = new RequestIdGenerator(context.settings().nodeId(), context.incarnation());
    }

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public Promise<Void> start() {
        PlaceSource places = context.find(PlaceSource.class).orElseThrow();
        CurrentConfig config = new CurrentConfig(
                context.control(), context.find(ConfigView.class).orElseThrow());
        config.follow();
        CallRouter calls = HolderCallRouter.create(context, ids);
        for (Eventloop loop : context.traffic()) {
            TrafficThreadContext thread = new TrafficThreadContext(context, loop, ids, places, dialect(loop), drain);
            threads.add(thread);
            servers.add(server(loop, new CallerServlet(thread, config, calls)));
        }
        Eventloop first = context.traffic().get(0);
        return Crossing.call(context.control(), first, this::listen);
    }

    /** Returns the address where callers are served; its port is the one that the system chose. */
    public String listenAddress() {
        return listenAddress;
    }

    @Override
    public Promise<Void> drain() {
        drain.begin();
        return Promises.delay(Duration.ofMillis(context.settings().drainNoticeMillis()))
                .then(this::stopAccepting)
                .then(() -> Promises.delay(Duration.ofMillis(IDLE_CONNECTION_GRACE_MILLIS)))
                .then(this::untilIdle);
    }

    @Override
    public Promise<Void> stop() {
        threads.forEach(thread -> thread.loop().execute(thread.connections()::close));
        return stopAccepting();
    }

    private Promise<Void> stopAccepting() {
        return Crossing.call(
                context.control(),
                context.traffic().get(0),
                () -> acceptor.close().toVoid());
    }

    /** Waits until every answer that has begun, or is awaited, is written. A server that does not listen can't be closed. */
    private Promise<Void> untilIdle() {
        List<Promise<Integer>> counts = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            HttpServer server = servers.get(i);
            Eventloop loop = context.traffic().get(i);
            counts.add(Crossing.call(context.control(), loop, () -> Promise.of(busyConnections(server))));
        }
        return Promises.toList(counts.stream()).then(busy -> {
            boolean idle = busy.stream().allMatch(count -> count == 0);
            return idle ? Promise.complete() : Promises.delay(IDLE_POLL_INTERVAL).then(this::untilIdle);
        });
    }

    private static int busyConnections(HttpServer server) {
        return server.getConnectionsReadWriteCount() + server.getConnectionsServingCount();
    }

    private Promise<Void> listen() {
        NodeSettings settings = context.settings();
        acceptor = PrimaryServer.builder(context.traffic().get(0), servers)
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

    private HttpServer server(Eventloop loop, CallerServlet servlet) {
        return HttpServer.builder(loop, servlet)
                .withReadWriteTimeout(Duration.ZERO)
                .withHttpErrorFormatter(this::malformedRequest)
                .build();
    }

    private Promise<io.activej.http.HttpResponse> malformedRequest(Exception e) {
        PoplarWharfException failure = e instanceof io.activej.http.MalformedHttpException
                ? CallerReporter.invalidRequest(
                        "The request is not well-formed HTTP.", "Use a client library for HTTP.")
                : CallerResponses.toFailure(e);
        return Promise.of(CallerResponses.problem(failure, ids.next(), true));
    }

    private EngineDialect dialect(Eventloop loop) {
        String name = context.settings().engineDialect();
        Optional<EngineDialect.Factory> factory = context.plugins().find(EngineDialect.Factory.class, name);
        return factory.orElseThrow(() -> Reporter.settingsInvalid(List.of("No engine dialect is called " + name + ".")))
                .create(loop);
    }
}
