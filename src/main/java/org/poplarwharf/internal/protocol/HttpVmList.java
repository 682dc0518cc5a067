package org.poplarwharf.internal.protocol;

import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.plugins.VmList;

/**
 * A client of the platform's list of VMs over HTTP. Confined to one reactor thread.
 */
public final class HttpVmList implements VmList {
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final int STATUS_OK = 200;

    private final String address;
    private final SingleUseHttpClient httpClient;

    public HttpVmList(NioReactor reactor, String address) {
        this.address = address;
        this.httpClient = new SingleUseHttpClient(reactor, CALL_TIMEOUT_MILLIS);
    }

    /** Returns a factory of these clients, which is immutable and thread-safe. */
    public static Factory factory() {
        return HttpVmList::new;
    }

    @Override
    public Promise<List<Vm>> list() {
        HttpRequest request = HttpRequest.get("http://" + address + "/vms").build();
        return SingleUseHttpClient.mapResult(
                httpClient.send(request), this::decodeVms, error -> Reporter.vmListUnavailable(address, error));
    }

    private List<Vm> decodeVms(SingleUseHttpClient.Response response) {
        if (response.status() != STATUS_OK) {
            throw Reporter.vmListUnavailable(address, null);
        }
        return JsonCodec.read(response.body(), VmsResponse.class, "the VM list at " + address)
                .vms();
    }

    private record VmsResponse(List<Vm> vms) {}
}
