package org.poplarwharf.internal.standin;

import static io.activej.http.HttpMethod.GET;
import static io.activej.http.HttpMethod.PUT;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;

/**
 * The HTTP servers of a stand-in: one for its clients and one for its administration.
 *
 * <p>Invariant: after {@link #crash} every client's connection is closed and new ones are refused; the administration goes
 * on until {@link #stop}. Belongs to one reactor thread.
 */
final class StandinHost {
    private final SocketTracker sockets = new SocketTracker();
    private final SocketTracker adminSockets = new SocketTracker();
    private final Optional<HttpServer> server;
    private final HttpServer admin;
    private final String address;
    private final String adminAddress;

    private StandinHost(
            NioReactor reactor, StandinAddresses addresses, Optional<AsyncServlet> servlet, AsyncServlet adminServlet) {
        server = servlet.map(served -> listen(reactor, addresses.listen(), served, sockets));
        admin = listen(reactor, addresses.admin(), adminServlet, adminSockets);
        address = server.map(StandinHost::addressOf).orElse("");
        adminAddress = addressOf(admin);
    }

    static StandinHost start(
            NioReactor reactor, StandinAddresses addresses, AsyncServlet servlet, AsyncServlet adminServlet) {
        return new StandinHost(reactor, addresses, Optional.of(servlet), adminServlet);
    }

    static StandinHost startAdmin(NioReactor reactor, StandinAddresses addresses, AsyncServlet adminServlet) {
        return new StandinHost(reactor, addresses, Optional.empty(), adminServlet);
    }

    /** Returns the administration paths that every stand-in has. */
    static RoutingServlet.Builder adminServlet(NioReactor reactor, Journal<?> journal, Faults<?> faults) {
        return RoutingServlet.builder(reactor)
                .with(GET, "/journal", request -> Promise.of(StandinJson.response(200, journal.json())))
                .with(GET, "/faults", request -> Promise.of(StandinJson.response(200, faults.get())))
                .with(PUT, "/faults", bodyServlet(body -> {
                    faults.setJson(body);
                    return StandinJson.response(200, faults.get());
                }));
    }

    /** Returns a servlet that takes a body and answers 400 where it is malformed. */
    static AsyncServlet bodyServlet(BodyHandler handler) {
        return request -> body(request).map(bytes -> {
            try {
                return handler.handle(bytes);
            } catch (PoplarWharfException e) {
                return StandinJson.response(
                        400, new Problem(e.code().text(), e.getCause() == null ? e.getMessage() : "" + e.getCause()));
            }
        });
    }

    static Promise<byte[]> body(HttpRequest request) {
        return request.loadBody().map(ByteBuf::getArray);
    }

    /** Returns an answer whose connection is closed before it is whole. */
    static HttpResponse cutAnswer() {
        return HttpResponse.ok200()
                .withBodyStream(ChannelSuppliers.ofException(new IOException("connection cut by a fault")))
                .build();
    }

    static Promise<HttpResponse> noAnswer() {
        return Promise.ofCallback(callback -> {});
    }

    static long longParameter(HttpRequest request, String name, long absent) {
        String text = request.getQueryParameter(name);
        if (text == null) {
            return absent;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return absent;
        }
    }

    String address() {
        return address;
    }

    String adminAddress() {
        return adminAddress;
    }

    /** Closes every connection and refuses new ones. */
    void crash() {
        server.ifPresent(HttpServer::close);
        sockets.closeAll();
    }

    void stop() {
        crash();
        admin.close();
        adminSockets.closeAll();
    }

    private HttpServer listen(
            NioReactor reactor, InetSocketAddress listenAddress, AsyncServlet servlet, SocketTracker tracker) {
        HttpServer created = HttpServer.builder(reactor, servlet)
                .withListenAddress(listenAddress)
                .withSocketInspector(tracker)
                .build();
        try {
            created.listen();
        } catch (IOException e) {
            throw Reporter.addressUnusable(listenAddress.toString(), e);
        }
        return created;
    }

    private static String addressOf(HttpServer listening) {
        InetSocketAddress bound = listening.getBoundAddresses().getFirst();
        return bound.getAddress().getHostAddress() + ":" + bound.getPort();
    }

    /** Makes an answer from the bytes of a request. */
    interface BodyHandler {
        HttpResponse handle(byte[] body);
    }

    /** The body of a refusal. Immutable and thread-safe. */
    record Problem(String code, String reason) {
        static Problem of(PoplarWharfException failure) {
            return new Problem(failure.code().text(), failure.getMessage());
        }
    }
}
