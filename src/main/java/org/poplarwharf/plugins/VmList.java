package org.poplarwharf.plugins;

import io.activej.promise.Promise;
import java.util.List;

/**
 * The port to the platform's list of live and leaving VMs, which lags behind reality.
 *
 * <p>An instance belongs to one reactor thread and is called only from it.
 */
public interface VmList {
    /** Returns the list as the platform now tells it. */
    Promise<List<Vm>> list();

    /** Makes lists for a reactor. The extension point under which a list protocol registers. */
    interface Factory {
        VmList create(io.activej.reactor.nio.NioReactor reactor, String address);
    }

    /** Whether a VM stays or has been called back. */
    enum VmState {
        LIVE,
        LEAVING
    }

    /**
     * One VM.
     *
     * @param vmId unique for all time; a VM that returns under an old address has a new one
     * @param name the node id or target name that runs on it
     * @param address host and port
     * @param zone the availability zone
     */
    record Vm(String vmId, String name, String address, String zone, VmState state) {}
}
