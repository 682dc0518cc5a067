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
 * The HTTP servers of a stand-in: an optional one for clients and one for administration.
 *
 * <p>Invariant: after {@link #crash} all client connections are closed and new ones are refused; the administration server
 * runs until {@link #stop}. Confined to one reactor thread.
 */
final class StandinServers {
    private final SocketTracker clientSockets = new SocketTracker();
    private final SocketTracker adminSockets = new SocketTracker();
    private final Optional<HttpServer> clientServer;
    private final HttpServer adminServer;
    private final String address;
    private final String adminAddress;

    private StandinServers(
            NioReactor reactor, StandinAddresses addresses, Optional<AsyncServlet> servlet, AsyncServlet adminServlet) {
        clientServer = servlet.map(clientServlet -> listen(reactor, addresses.listen(), clientServlet, clientSockets));
        adminServer = listen(reactor, addresses.admin(), adminServlet, adminSockets);
        address = clientServer.map(StandinServers::boundAddress).orElse("");
        adminAddress = boundAddress(adminServer);
    }

    static StandinServers start(
            NioReactor reactor, StandinAddresses addresses, AsyncServlet servlet, AsyncServlet adminServlet) {
        return new StandinServers(reactor, addresses, Optional.of(servlet), adminServlet);
    }

    static StandinServers startAdmin(NioReactor reactor, StandinAddresses addresses, AsyncServlet adminServlet) {
        return new StandinServers(reactor, addresses, Optional.empty(), adminServlet);
    }

    /** Returns a servlet builder with the administration paths that every stand-in has. */
    static RoutingServlet.Builder adminServlet(NioReactor reactor, Journal<?> journal, ActiveFaults<?> faults) {
        return RoutingServlet.builder(reactor)
                .with(GET, "/journal", request -> Promise.of(StandinJson.response(200, journal.json())))
                .with(GET, "/faults", request -> Promise.of(StandinJson.response(200, faults.get())))
                .with(PUT, "/faults", bodyServlet(body -> {
                    faults.setJson(body);
                    return StandinJson.response(200, faults.get());
                }));
    }

    /** Returns a servlet that passes the request body to a handler and responds with status 400 if the body is invalid. */
    static AsyncServlet bodyServlet(BodyHandler handler) {
        return request -> readBody(request).map(bytes -> {
            try {
                return handler.handle(bytes);
            } catch (PoplarWharfException e) {
                return StandinJson.response(
                        400, new Problem(e.code().text(), e.getCause() == null ? e.getMessage() : "" + e.getCause()));
            }
        });
    }

    static Promise<byte[]> readBody(HttpRequest request) {
        return request.loadBody().map(ByteBuf::getArray);
    }

    /** Returns a response whose connection closes before the body is complete. */
    static HttpResponse truncatedResponse() {
        return HttpResponse.ok200()
                .withBodyStream(ChannelSuppliers.ofException(new IOException("connection closed by an injected fault")))
                .build();
    }

    /** Returns a promise that never completes, so that the client gets no response. */
    static Promise<HttpResponse> neverRespond() {
        return Promise.ofCallback(callback -> {});
    }

    /** Returns a numeric query parameter, or a default if it is absent or malformed. */
    static long longParameter(HttpRequest request, String name, long defaultValue) {
        String text = request.getQueryParameter(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    String address() {
        return address;
    }

    String adminAddress() {
        return adminAddress;
    }

    /** Closes all client connections and refuses new ones. */
    void crash() {
        clientServer.ifPresent(HttpServer::close);
        clientSockets.closeAll();
    }

    /** Closes all connections and stops both servers. */
    void stop() {
        crash();
        adminServer.close();
        adminSockets.closeAll();
    }

    private HttpServer listen(
            NioReactor reactor, InetSocketAddress listenAddress, AsyncServlet servlet, SocketTracker tracker) {
        HttpServer newServer = HttpServer.builder(reactor, servlet)
                .withListenAddress(listenAddress)
                .withSocketInspector(tracker)
                .build();
        try {
            newServer.listen();
        } catch (IOException e) {
            throw Reporter.addressUnusable(listenAddress.toString(), e);
        }
        return newServer;
    }

    private static String boundAddress(HttpServer listeningServer) {
        InetSocketAddress socketAddress = listeningServer.getBoundAddresses().getFirst();
        return socketAddress.getAddress().getHostAddress() + ":" + socketAddress.getPort();
    }

    /** Creates a response from a request body. */
    interface BodyHandler {
        HttpResponse handle(byte[] body);
    }

    /** The body of an error response. Immutable and thread-safe. */
    record Problem(String code, String reason) {
        static Problem of(PoplarWharfException failure) {
            return new Problem(failure.code().text(), failure.getMessage());
        }
    }
}
