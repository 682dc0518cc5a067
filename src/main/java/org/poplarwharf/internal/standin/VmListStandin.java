package org.poplarwharf.internal.standin;

import static io.activej.http.HttpMethod.GET;
import static io.activej.http.HttpMethod.PUT;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.List;
import org.poplarwharf.plugins.VmList;

/**
 * Stands in for the platform's list of live and leaving VMs.
 *
 * <p>{@code PUT /vms} on the administration server sets the list; {@code GET /vms} shows a change only after the configured
 * lag. Confined to one reactor thread.
 */
public final class VmListStandin extends HttpStandin<VmListStandin.VmsChanged, VmListFaults> {
    private List<VmList.Vm> visibleVms = List.of();
    private long lastChangeNumber;
    private long visibleChangeNumber;

    private VmListStandin(NioReactor reactor, StandinAddresses addresses, long lagMillis) {
        super(
                reactor,
                new Journal<>(VmsChanged.class, addresses.journal()),
                new ActiveFaults<>(VmListFaults.class, new VmListFaults(false, lagMillis)));
        RoutingServlet adminServlet = StandinServers.adminServlet(reactor, journal, faults)
                .with(PUT, "/vms", StandinServers.bodyServlet(this::handlePutVms))
                .build();
        RoutingServlet servlet =
                RoutingServlet.builder(reactor).with(GET, "/vms", this::list).build();
        listen(addresses, servlet, adminServlet);
    }

    /** Starts a VM list. Must be called on the reactor thread. */
    public static VmListStandin start(NioReactor reactor, StandinAddresses addresses, long lagMillis) {
        return new VmListStandin(reactor, addresses, lagMillis);
    }

    /** Sets the VMs. The change becomes visible after the lag, unless a later change is visible by then. */
    public void setVms(List<VmList.Vm> vms) {
        journal.add(new VmsChanged(vms));
        long change = ++lastChangeNumber;
        long lagMillis = faults.get().lagMillis();
        if (lagMillis == 0) {
            makeVisible(change, vms);
            return;
        }
        reactor.delayBackground(lagMillis, () -> makeVisible(change, vms));
    }

    private void makeVisible(long change, List<VmList.Vm> vms) {
        if (change > visibleChangeNumber) {
            visibleChangeNumber = change;
            visibleVms = vms;
        }
    }

    private HttpResponse handlePutVms(byte[] body) {
        VmsChanged change = StandinJson.read(body, VmsChanged.class);
        setVms(change.vms());
        return StandinJson.response(200, change);
    }

    private Promise<HttpResponse> list(HttpRequest request) {
        if (faults.get().outage()) {
            return Promise.of(StandinJson.response(503, new StandinServers.Problem("list-outage", "a fault is set")));
        }
        return Promise.of(StandinJson.response(200, new VmsChanged(visibleVms)));
    }

    /** The complete list of VMs, as set through the administration server. Immutable and thread-safe. */
    public record VmsChanged(List<VmList.Vm> vms) {}
}
