package org.poplarwharf.internal.standin;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.util.Optional;

/**
 * Stands in for a plain service: every path takes a call, and every call takes effect once it arrives.
 *
 * <p>Belongs to one reactor thread.
 */
public final class ServiceStandin extends HostedStandin<ServiceCall, ServiceFaults> {
    private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

    private final Optional<Runnable> exit;
    private long calls;

    private ServiceStandin(
            NioReactor reactor, StandinAddresses addresses, long serviceMillis, Optional<Runnable> exit) {
        super(
                reactor,
                new Journal<>(ServiceCall.class, addresses.journal()),
                new Faults<>(ServiceFaults.class, ServiceFaults.none(serviceMillis)));
        this.exit = exit;
        listen(addresses, this::serve);
    }

    /** Starts a service whose death closes its connections; call it in the reactor's thread. */
    public static ServiceStandin start(NioReactor reactor, StandinAddresses addresses, long serviceMillis) {
        return new ServiceStandin(reactor, addresses, serviceMillis, Optional.empty());
    }

    static ServiceStandin startProcess(
            NioReactor reactor, StandinAddresses addresses, long serviceMillis, Runnable exit) {
        return new ServiceStandin(reactor, addresses, serviceMillis, Optional.of(exit));
    }

    private Promise<HttpResponse> serve(HttpRequest request) {
        String method = request.getMethod().name();
        String path = request.getPath();
        Optional<String> key = Optional.ofNullable(request.getHeader(IDEMPOTENCY_KEY));
        return StandinHost.body(request).then(body -> {
            ServiceCall call = new ServiceCall(++calls, method, path, Hashes.sha256(body), key);
            journal.add(call);
            return answer(call);
        });
    }

    private Promise<HttpResponse> answer(ServiceCall call) {
        ServiceFaults now = faults.get();
        if (now.dieAfterNextCall()) {
            exit.ifPresent(Runnable::run);
            closeClients();
            return StandinHost.noAnswer();
        }
        if (now.cutNextAnswers() > 0) {
            faults.update(ServiceFaults::afterCut);
            return Promise.of(StandinHost.cutAnswer());
        }
        if (now.silentNextAnswers() > 0) {
            faults.update(ServiceFaults::afterSilence);
            return StandinHost.noAnswer();
        }
        Promise<Void> served =
                now.serviceMillis() == 0 ? Promise.complete() : Promises.delay(reactor, now.serviceMillis());
        return served.map(ignored -> StandinJson.response(now.status(), call));
    }
}
