package org.poplarwharf.internal.admin;

import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.Role;

/**
 * Serves the administration API on a separate listen address.
 *
 * <p>Confined to the control thread. The API keeps serving requests while the node drains.
 */
final class AdminRole implements Role {
    static final String NAME = "admin";

    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final NodeContext context;
    private final HttpServer server;

    AdminRole(NodeContext context) {
        this.context = context;
        server = HttpServer.builder(context.controlLoop(), new AdminServlet(context))
                .withListenAddress(parseAddress(context.settings().adminAddress()))
                .withMaxBodySize(MAX_BODY_BYTES)
                .build();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Promise<Void> start() {
        try {
            server.listen();
            return Promise.complete();
        } catch (IOException e) {
            return Promise.ofException(
                    Reporter.addressUnusable(context.settings().adminAddress(), e));
        }
    }

    @Override
    public Promise<Void> drain() {
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        return server.close().toVoid();
    }

    private static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
