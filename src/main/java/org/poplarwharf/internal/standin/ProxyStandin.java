package org.poplarwharf.internal.standin;

import static io.activej.http.HttpMethod.GET;
import static io.activej.http.HttpMethod.POST;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Stands in for a faulty network: a TCP proxy with links whose faults can be changed at any time.
 *
 * <p>On the administration server, {@code PUT /faults} sets the faults of the named links, {@code POST
 * /links/{name}/reset} resets the connections of a link, and {@code POST /links/{name}/silence} drops all further data of
 * its open connections without closing them; new connections work. Confined to one reactor thread.
 */
public final class ProxyStandin implements Standin {
    private final Map<String, ProxyLink> links = new LinkedHashMap<>();
    private final Journal<ProxyEvent> journal;
    private final StandinServers servers;

    private ProxyStandin(NioReactor reactor, StandinAddresses addresses, List<LinkSpec> linkSpecs) {
        this.journal = new Journal<>(ProxyEvent.class, addresses.journal());
        for (LinkSpec link : linkSpecs) {
            links.put(link.name(), new ProxyLink(reactor, link, journal));
        }
        ActiveFaults<ProxyFaults> faults = new ActiveFaults<>(ProxyFaults.class, new ProxyFaults(List.of()));
        faults.onChange(this::applyFaults);
        RoutingServlet adminServlet = StandinServers.adminServlet(reactor, journal, faults)
                .with(GET, "/links", request -> Promise.of(StandinJson.response(200, linkStates())))
                .with(POST, "/links/:link/reset", request -> runLinkAction(request, ProxyLink::resetConnections))
                .with(POST, "/links/:link/silence", request -> runLinkAction(request, ProxyLink::silenceConnections))
                .build();
        servers = StandinServers.startAdmin(reactor, addresses, adminServlet);
    }

    /** Starts a proxy with the given links. Must be called on the reactor thread. */
    public static ProxyStandin start(NioReactor reactor, StandinAddresses addresses, List<LinkSpec> links) {
        return new ProxyStandin(reactor, addresses, links);
    }

    /** Returns the listening address (host and port) of a link. */
    public String address(String link) {
        return linkNamed(link).address();
    }

    /** Sets the faults of a link. */
    public void setFaults(String link, LinkFaults faults) {
        linkNamed(link).setFaults(faults);
    }

    /** Closes all connections of a link with a TCP reset. */
    public void resetConnections(String link) {
        linkNamed(link).resetConnections();
    }

    /** Drops all further data of the open connections of a link without closing them; new connections work. */
    public void silenceConnections(String link) {
        linkNamed(link).silenceConnections();
    }

    /** Holds back all data of the open connections of a link; new connections work. */
    public void freezeConnections(String link) {
        linkNamed(link).setFrozen(true);
    }

    /** Forwards the data that the frozen connections of a link held back, and resumes them. */
    public void thawConnections(String link) {
        linkNamed(link).setFrozen(false);
    }

    /** Returns the current state of every link. */
    public List<LinkState> linkStates() {
        return links.values().stream()
                .map(link -> new LinkState(link.name(), link.address(), link.faults(), link.openConnections()))
                .toList();
    }

    public Journal<ProxyEvent> journal() {
        return journal;
    }

    @Override
    public String address() {
        return links.values().iterator().next().address();
    }

    @Override
    public String adminAddress() {
        return servers.adminAddress();
    }

    @Override
    public void stop() {
        links.values().forEach(ProxyLink::stop);
        servers.stop();
    }

    private void applyFaults(ProxyFaults faults) {
        faults.links().forEach(namedFaults -> linkNamed(namedFaults.name()));
        faults.links().forEach(namedFaults -> linkNamed(namedFaults.name()).setFaults(namedFaults.faults()));
    }

    private Promise<HttpResponse> runLinkAction(HttpRequest request, Consumer<ProxyLink> action) {
        ProxyLink link = links.get(request.getPathParameter("link"));
        if (link == null) {
            return Promise.of(StandinJson.response(404, new StandinServers.Problem("unknown-link", "no such link")));
        }
        action.accept(link);
        return Promise.of(StandinJson.response(200, linkStates()));
    }

    private ProxyLink linkNamed(String name) {
        ProxyLink link = links.get(name);
        if (link == null) {
            throw Reporter.settingsInvalid(List.of("no proxy link is named '" + name + "'."));
        }
        return link;
    }

    /**
     * The configuration of a link. Immutable and thread-safe.
     *
     * @param listen host and port to listen on; with port 0 the system chooses a free port
     * @param upstream host and port that connections are forwarded to
     */
    public record LinkSpec(String name, String listen, String upstream) {
        /** Returns a link that listens on a free loopback port. */
        public static LinkSpec loopback(String name, String upstream) {
            return new LinkSpec(name, "127.0.0.1:0", upstream);
        }
    }

    /** The current state of a link. Immutable and thread-safe. */
    public record LinkState(String name, String address, LinkFaults faults, int openConnections) {}

    /** The faults to set on the named links. Immutable and thread-safe. */
    public record ProxyFaults(List<NamedFaults> links) {}

    /** The faults of one named link. Immutable and thread-safe. */
    public record NamedFaults(String name, LinkFaults faults) {}
}
