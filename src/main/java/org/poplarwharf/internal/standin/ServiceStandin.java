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
 * Stands in for a plain service: accepts calls on every path, and journals each call as executed when its body has arrived.
 *
 * <p>Confined to one reactor thread.
 */
public final class ServiceStandin extends HttpStandin<ServiceCall, ServiceFaults> {
    private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

    private final Optional<Runnable> exitProcess;
    private long callCount;

    private ServiceStandin(
            NioReactor reactor, StandinAddresses addresses, long serviceMillis, Optional<Runnable> exitProcess) {
        super(
                reactor,
                new Journal<>(ServiceCall.class, addresses.journal()),
                new ActiveFaults<>(ServiceFaults.class, ServiceFaults.none(serviceMillis)));
        this.exitProcess = exitProcess;
        listen(addresses, this::handle);
    }

    /** Starts a service whose crash only closes its client connections. Must be called on the reactor thread. */
    public static ServiceStandin start(NioReactor reactor, StandinAddresses addresses, long serviceMillis) {
        return new ServiceStandin(reactor, addresses, serviceMillis, Optional.empty());
    }

    /** Starts a service whose crash also runs {@code exitProcess}. Must be called on the reactor thread. */
    static ServiceStandin startAsProcess(
            NioReactor reactor, StandinAddresses addresses, long serviceMillis, Runnable exitProcess) {
        return new ServiceStandin(reactor, addresses, serviceMillis, Optional.of(exitProcess));
    }

    private Promise<HttpResponse> handle(HttpRequest request) {
        String method = request.getMethod().name();
        String path = request.getPath();
        Optional<String> key = Optional.ofNullable(request.getHeader(IDEMPOTENCY_KEY));
        return StandinServers.readBody(request).then(body -> {
            ServiceCall call = new ServiceCall(++callCount, method, path, Hashes.sha256(body), key);
            journal.add(call);
            return respond(call);
        });
    }

    private Promise<HttpResponse> respond(ServiceCall call) {
        ServiceFaults currentFaults = faults.get();
        if (currentFaults.dieAfterNextCall()) {
            exitProcess.ifPresent(Runnable::run);
            closeClientConnections();
            return StandinServers.neverRespond();
        }
        if (currentFaults.cutNextAnswers() > 0) {
            faults.update(ServiceFaults::withOneCutUsed);
            return Promise.of(StandinServers.truncatedResponse());
        }
        if (currentFaults.silentNextAnswers() > 0) {
            faults.update(ServiceFaults::withOneSilenceUsed);
            return StandinServers.neverRespond();
        }
        Promise<Void> serviceDelay = currentFaults.serviceMillis() == 0
                ? Promise.complete()
                : Promises.delay(reactor, currentFaults.serviceMillis());
        return serviceDelay.map(ignored -> StandinJson.response(currentFaults.status(), call));
    }
}
