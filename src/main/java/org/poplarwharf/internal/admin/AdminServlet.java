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
 * Authenticates and routes the requests of the administration API.
 *
 * <p>Invariant: every path except health and readiness requires the configured token; if no token is configured, those
 * paths reject all requests. Confined to the control thread.
 */
final class AdminServlet implements AsyncServlet {
    private static final String HEALTH = "/health";
    private static final String READY = "/ready";
    private static final Set<String> UNAUTHENTICATED_PATHS = Set.of(HEALTH, READY);
    private static final String METRICS = "/metrics";
    private static final String METRICS_JSON = "/metrics.json";
    private static final String STATUS = "/status";
    private static final String DRAIN = "/drain";
    private static final String TARGET_EXCLUSION = "/targets/:name/exclusion";
    private static final String SETTLE = "/slots/settle";
    private static final String SUSPECT = "/suspects/:name";
    private static final List<String> ALL_PATHS =
            List.of(HEALTH, READY, METRICS, METRICS_JSON, STATUS, DRAIN, TARGET_EXCLUSION, SETTLE, SUSPECT);
    private static final String BEARER_PREFIX = "Bearer ";

    private final NodeContext context;
    private final NodeLifeCycle lifeCycle;
    private final NodeLog log;
    private final RoutingServlet routes;

    AdminServlet(NodeContext context) {
        this.context = context;
        lifeCycle = context.findService(NodeLifeCycle.class).orElseThrow();
        log = context.findService(NodeLog.class).orElseThrow();
        AdminChanges changes = new AdminChanges(context);
        MetricsFormatter metrics = new MetricsFormatter(context.metrics());
        StatusCollector status = new StatusCollector(context);
        RoutingServlet.Builder builder = RoutingServlet.builder(context.controlLoop())
                .with(HttpMethod.GET, HEALTH, request -> AdminResponses.json(new HealthResponse("up")))
                .with(HttpMethod.GET, READY, request -> ready())
                .with(HttpMethod.GET, METRICS, request -> AdminResponses.text(metrics.prometheusText()))
                .with(HttpMethod.GET, METRICS_JSON, request -> AdminResponses.json(metrics.values()))
                .with(HttpMethod.GET, STATUS, request -> AdminResponses.json(status.collect()))
                .with(HttpMethod.POST, DRAIN, request -> drain())
                .with(HttpMethod.PUT, TARGET_EXCLUSION, request -> changes.setExcluded(nameParameter(request), true))
                .with(
                        HttpMethod.DELETE,
                        TARGET_EXCLUSION,
                        request -> changes.setExcluded(nameParameter(request), false))
                .with(HttpMethod.POST, SETTLE, changes::settleOrder)
                .with(HttpMethod.DELETE, SUSPECT, request -> changes.liftCondemnation(nameParameter(request)));
        for (String path : ALL_PATHS) {
            builder.with(path, AdminServlet::rejectMethod);
        }
        routes = builder.build();
    }

    /** The response body of the health path. */
    private record HealthResponse(String status) {}

    /** The response body of the readiness path. */
    private record ReadinessResponse(boolean ready, long configVersion) {}

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        return authorizeAndRoute(request).then(Promise::of, exception -> Promise.of(reject(request, exception)));
    }

    private Promise<HttpResponse> authorizeAndRoute(HttpRequest request) {
        try {
            if (!UNAUTHENTICATED_PATHS.contains(request.getPath()) && !hasToken(request)) {
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
        byte[] expected = (BEARER_PREFIX + token.get()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(expected, header.getBytes(StandardCharsets.UTF_8));
    }

    private HttpResponse reject(HttpRequest request, Exception exception) {
        PoplarWharfException failure = AdminResponses.toFailure(request, exception);
        if (failure.code() == FailureCode.INTERNAL) {
            log.logFailure(NodeLogEvent.UNEXPECTED_EXCEPTION, failure.code(), request.getPath(), exception);
        } else if (!UNAUTHENTICATED_PATHS.contains(request.getPath())) {
            log.logEvent(NodeLogEvent.ADMIN_REFUSED, failure.code().text());
        }
        return AdminResponses.problem(failure);
    }

    private Promise<HttpResponse> ready() {
        if (lifeCycle.phase() == Phase.DRAINING || lifeCycle.phase() == Phase.STOPPED) {
            throw CallerReporter.shuttingDown();
        }
        Optional<ConfigView> config = context.findService(ConfigView.class).filter(ConfigView::isReady);
        if (lifeCycle.phase() != Phase.RUNNING || config.isEmpty()) {
            throw CallerReporter.notReady();
        }
        return AdminResponses.json(
                new ReadinessResponse(true, config.get().current().version()));
    }

    private Promise<HttpResponse> drain() {
        log.logEvent(NodeLogEvent.ADMIN_CHANGE, "drain");
        lifeCycle.requestDrain();
        return AdminResponses.json(new AdminResponses.ChangeResponse("draining"));
    }

    private static Promise<HttpResponse> rejectMethod(HttpRequest request) {
        throw AdminResponses.methodNotAllowed(request);
    }

    private static String nameParameter(HttpRequest request) {
        return request.getPathParameter("name");
    }
}
