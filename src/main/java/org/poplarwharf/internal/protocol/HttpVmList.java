package org.poplarwharf.internal.protocol;

import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.plugins.VmList;

/**
 * The platform's list of VMs over HTTP. Belongs to one reactor thread.
 */
public final class HttpVmList implements VmList {
    private static final long CALL_LIMIT_MILLIS = 2_000;
    private static final int STATUS_OK = 200;

    private final String address;
    private final HttpCalls calls;

    public HttpVmList(NioReactor reactor, String address) {
        this.address = address;
        this.calls = new HttpCalls(reactor, CALL_LIMIT_MILLIS);
    }

    /** Makes such lists. Immutable and thread-safe. */
    public static Factory factory() {
        return HttpVmList::new;
    }

    @Override
    public Promise<List<Vm>> list() {
        HttpRequest request = HttpRequest.get("http://" + address + "/vms").build();
        return HttpCalls.settle(
                calls.call(request), this::vms, failure -> Reporter.vmListUnavailable(address, failure));
    }

    private List<Vm> vms(HttpCalls.Answer answer) {
        if (answer.status() != STATUS_OK) {
            throw Reporter.vmListUnavailable(address, null);
        }
        return Json.read(answer.body(), VmsAnswer.class, "the VM list at " + address)
                .vms();
    }

    private record VmsAnswer(List<Vm> vms) {}
}
