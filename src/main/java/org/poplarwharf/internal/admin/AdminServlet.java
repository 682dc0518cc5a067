package org.poplarwharf.internal.admin;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeLifeCycle;
import org.poplarwharf.internal.kernel.NodeLifeCycle.Phase;
import org.poplarwharf.internal.kernel.NodeLog;
import org.poplarwharf.internal.kernel.NodeLogEvent;

/**
 * The paths of the administration API.
 *
 * <p>Invariant: all but health and readiness need the token of the settings; without one in the settings they are
 * always refused. Belongs to the control thread.
 */
final class AdminServlet implements AsyncServlet {
    private static final String HEALTH = "/health";
    private static final String READY = "/ready";
    private static final Set<String> OPEN_PATHS = Set.of(HEALTH, READY);
    private static final String METRICS = "/metrics";
    private static final String METRICS_JSON = "/metrics.json";
    private static final String STATUS = "/status";
    private static final String DRAIN = "/drain";
    private static final String EXCLUSION = "/targets/:name/exclusion";
    private static final String SETTLE = "/slots/settle";
    private static final String SUSPECT = "/suspects/:name";
    private static final List<String> ALL_PATHS =
            List.of(HEALTH, READY, METRICS, METRICS_JSON, STATUS, DRAIN, EXCLUSION, SETTLE, SUSPECT);
    private static final String BEARER = "Bearer ";

    private final NodeContext context;
    private final NodeLifeCycle lifeCycle;
    private final NodeLog log;
    private final RoutingServlet routes;

    AdminServlet(NodeContext context) {
        this.context = context;
        lifeCycle = context.findService(NodeLifeCycle.class).orElseThrow();
        log = context.findService(NodeLog.class).orElseThrow();
        AdminChanges changes = new AdminChanges(context);
        MetricsPage metrics = new MetricsPage(context.metrics());
        StatusCollector status = new StatusCollector(context);
        RoutingServlet.Builder builder = RoutingServlet.builder(context.controlLoop())
                .with(HttpMethod.GET, HEALTH, request -> AdminAnswers.json(new Health("up")))
                .with(HttpMethod.GET, READY, request -> ready())
                .with(HttpMethod.GET, METRICS, request -> AdminAnswers.text(metrics.prometheusText()))
                .with(HttpMethod.GET, METRICS_JSON, request -> AdminAnswers.json(metrics.values()))
                .with(HttpMethod.GET, STATUS, request -> AdminAnswers.json(status.collect()))
                .with(HttpMethod.POST, DRAIN, request -> drain())
                .with(HttpMethod.PUT, EXCLUSION, request -> changes.exclude(name(request), true))
                .with(HttpMethod.DELETE, EXCLUSION, request -> changes.exclude(name(request), false))
                .with(HttpMethod.POST, SETTLE, changes::settle)
                .with(HttpMethod.DELETE, SUSPECT, request -> changes.liftCondemnation(name(request)));
        for (String path : ALL_PATHS) {
            builder.with(path, AdminServlet::refuseMethod);
        }
        routes = builder.build();
    }

    /** The answer of the health path. */
    private record Health(String status) {}

    /** The answer of the readiness path. */
    private record Ready(boolean ready, long configVersion) {}

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        return guarded(request).then(Promise::of, exception -> Promise.of(refuse(request, exception)));
    }

    private Promise<HttpResponse> guarded(HttpRequest request) {
        try {
            if (!OPEN_PATHS.contains(request.getPath()) && !hasToken(request)) {
                throw Reporter.invalidAdminToken();
            }
            return routes.serve(request);
        } catch (Exception e) {
            return Promise.ofException(e);
        }
    }

    private boolean hasToken(HttpRequest request) {
        Optional<String> token = context.settings().adminToken();
        String header = request.getHeader(HttpHeaders.AUTHORIZATION);
        if (token.isEmpty() || header == null) {
            return false;
        }
        byte[] wanted = (BEARER + token.get()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(wanted, header.getBytes(StandardCharsets.UTF_8));
    }

    private HttpResponse refuse(HttpRequest request, Exception exception) {
        PoplarWharfException failure = AdminAnswers.failure(request, exception);
        if (failure.code() == FailureCode.INTERNAL) {
            log.logFailure(NodeLogEvent.UNEXPECTED_EXCEPTION, failure.code(), request.getPath(), exception);
        } else if (!OPEN_PATHS.contains(request.getPath())) {
            log.logEvent(NodeLogEvent.ADMIN_REFUSED, failure.code().text());
        }
        return AdminAnswers.problem(failure);
    }

    private Promise<HttpResponse> ready() {
        if (lifeCycle.phase() == Phase.DRAINING || lifeCycle.phase() == Phase.STOPPED) {
            throw CallerReporter.shuttingDown();
        }
        Optional<ConfigView> config = context.findService(ConfigView.class).filter(ConfigView::isReady);
        if (lifeCycle.phase() != Phase.RUNNING || config.isEmpty()) {
            throw CallerReporter.notReady();
        }
        return AdminAnswers.json(new Ready(true, config.get().current().version()));
    }

    private Promise<HttpResponse> drain() {
        log.logEvent(NodeLogEvent.ADMIN_CHANGE, "drain");
        lifeCycle.requestDrain();
        return AdminAnswers.json(new AdminAnswers.Done("draining"));
    }

    private static Promise<HttpResponse> refuseMethod(HttpRequest request) {
        throw AdminAnswers.methodNotAllowed(request);
    }

    private static String name(HttpRequest request) {
        return request.getPathParameter("name");
    }
}
