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
 * Stands in for a faulty network: TCP links whose faults can be set at any time.
 *
 * <p>{@code PUT /faults} at the administration endpoint sets the faults of the links that it names; {@code POST
 * /links/{name}/reset} resets a link's connections and {@code POST /links/{name}/silence} silences those now open, while
 * new ones work. Belongs to one reactor thread.
 */
public final class ProxyStandin implements Standin {
    private final Map<String, ProxyLink> links = new LinkedHashMap<>();
    private final Journal<ProxyEvent> journal;
    private final StandinHost host;

    private ProxyStandin(NioReactor reactor, StandinAddresses addresses, List<Link> settings) {
        this.journal = new Journal<>(ProxyEvent.class, addresses.journal());
        for (Link link : settings) {
            links.put(link.name(), new ProxyLink(reactor, link, journal));
        }
        Faults<ProxyFaults> faults = new Faults<>(ProxyFaults.class, new ProxyFaults(List.of()));
        faults.onChange(this::setAll);
        RoutingServlet admin = StandinHost.adminServlet(reactor, journal, faults)
                .with(GET, "/links", request -> Promise.of(StandinJson.response(200, states())))
                .with(POST, "/links/:link/reset", request -> act(request, ProxyLink::reset))
                .with(POST, "/links/:link/silence", request -> act(request, ProxyLink::silence))
                .build();
        host = StandinHost.startAdmin(reactor, addresses, admin);
    }

    /** Starts a proxy with the given links; call it in the reactor's thread. */
    public static ProxyStandin start(NioReactor reactor, StandinAddresses addresses, List<Link> links) {
        return new ProxyStandin(reactor, addresses, links);
    }

    /** Returns the address of a link. */
    public String address(String link) {
        return link(link).address();
    }

    /** Sets the faults of a link. */
    public void set(String link, LinkFaults faults) {
        link(link).set(faults);
    }

    /** Resets all connections of a link. */
    public void reset(String link) {
        link(link).reset();
    }

    /** Silences the connections of a link that are open now; new ones work. */
    public void silence(String link) {
        link(link).silence();
    }

    /** Keeps back what the connections of a link that are open now carry; new ones work. */
    public void freeze(String link) {
        link(link).freeze(true);
    }

    /** Lets the frozen connections of a link deliver what they kept back. */
    public void thaw(String link) {
        link(link).freeze(false);
    }

    /** Returns every link as it is now. */
    public List<LinkState> states() {
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
        return host.adminAddress();
    }

    @Override
    public void stop() {
        links.values().forEach(ProxyLink::stop);
        host.stop();
    }

    private void setAll(ProxyFaults faults) {
        faults.links().forEach(change -> link(change.name()));
        faults.links().forEach(change -> link(change.name()).set(change.faults()));
    }

    private Promise<HttpResponse> act(HttpRequest request, Consumer<ProxyLink> action) {
        ProxyLink link = links.get(request.getPathParameter("link"));
        if (link == null) {
            return Promise.of(StandinJson.response(404, new StandinHost.Problem("unknown-link", "no such link")));
        }
        action.accept(link);
        return Promise.of(StandinJson.response(200, states()));
    }

    private ProxyLink link(String name) {
        ProxyLink link = links.get(name);
        if (link == null) {
            throw Reporter.settingsInvalid(List.of("there is no link '" + name + "'."));
        }
        return link;
    }

    /**
     * A link to be made. Immutable and thread-safe.
     *
     * @param listen host and port; port 0 lets the system choose
     * @param upstream host and port that the link leads to
     */
    public record Link(String name, String listen, String upstream) {
        /** Returns a link on a loopback port that the system chooses. */
        public static Link loopback(String name, String upstream) {
            return new Link(name, "127.0.0.1:0", upstream);
        }
    }

    /** A link as it is. Immutable and thread-safe. */
    public record LinkState(String name, String address, LinkFaults faults, int openConnections) {}

    /** Faults to be set for some links. Immutable and thread-safe. */
    public record ProxyFaults(List<NamedFaults> links) {}

    /** Faults of one link. Immutable and thread-safe. */
    public record NamedFaults(String name, LinkFaults faults) {}
}
