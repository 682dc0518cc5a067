package org.poplarwharf.plugins;

import io.activej.promise.Promise;
import java.util.List;

/**
 * A client of the platform's list of live and leaving VMs. The list lags behind the actual state.
 *
 * <p>An instance is confined to one reactor thread.
 */
public interface VmList {
    /** Requests the platform's current list. */
    Promise<List<Vm>> list();

    /** Creates VM list clients for a reactor. The extension point that VM list protocols register under. */
    interface Factory {
        VmList create(io.activej.reactor.nio.NioReactor reactor, String address);
    }

    /** Whether a VM stays, or the platform is about to reclaim it. */
    enum VmState {
        LIVE,
        LEAVING
    }

    /**
     * A VM.
     *
     * @param vmId an id that is never reused; a VM that returns with an old address has a new id
     * @param name the id of the node or the name of the target that runs on it
     * @param address the host and port
     * @param zone the availability zone
     */
    record Vm(String vmId, String name, String address, String zone, VmState state) {}
}
