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
 * <p>{@code GET /vms} answers with the list as it was a lag ago; {@code PUT /vms} at the administration endpoint sets it.
 * Belongs to one reactor thread.
 */
public final class VmListStandin extends HostedStandin<VmListStandin.VmsChanged, VmListFaults> {
    private List<VmList.Vm> visible = List.of();
    private long changes;
    private long visibleChange;

    private VmListStandin(NioReactor reactor, StandinAddresses addresses, long lagMillis) {
        super(
                reactor,
                new Journal<>(VmsChanged.class, addresses.journal()),
                new Faults<>(VmListFaults.class, new VmListFaults(false, lagMillis)));
        RoutingServlet admin = StandinHost.adminServlet(reactor, journal, faults)
                .with(PUT, "/vms", StandinHost.bodyServlet(this::putVms))
                .build();
        RoutingServlet servlet =
                RoutingServlet.builder(reactor).with(GET, "/vms", this::list).build();
        listen(addresses, servlet, admin);
    }

    /** Starts a list; call it in the reactor's thread. */
    public static VmListStandin start(NioReactor reactor, StandinAddresses addresses, long lagMillis) {
        return new VmListStandin(reactor, addresses, lagMillis);
    }

    /** Sets the VMs, visible after the lag unless a later change is visible by then. */
    public void setVms(List<VmList.Vm> vms) {
        journal.add(new VmsChanged(vms));
        long change = ++changes;
        long lagMillis = faults.get().lagMillis();
        if (lagMillis == 0) {
            show(change, vms);
            return;
        }
        reactor.delayBackground(lagMillis, () -> show(change, vms));
    }

    private void show(long change, List<VmList.Vm> vms) {
        if (change > visibleChange) {
            visibleChange = change;
            visible = vms;
        }
    }

    private HttpResponse putVms(byte[] body) {
        VmsChanged change = StandinJson.read(body, VmsChanged.class);
        setVms(change.vms());
        return StandinJson.response(200, change);
    }

    private Promise<HttpResponse> list(HttpRequest request) {
        if (faults.get().outage()) {
            return Promise.of(StandinJson.response(503, new StandinHost.Problem("list-outage", "a fault is set")));
        }
        return Promise.of(StandinJson.response(200, new VmsChanged(visible)));
    }

    /** The VMs that an administrator set. Immutable and thread-safe. */
    public record VmsChanged(List<VmList.Vm> vms) {}
}
