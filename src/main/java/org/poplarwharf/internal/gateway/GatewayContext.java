package org.poplarwharf.internal.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.internal.PlatformDependent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.poplarwharf.internal.crash.CrashDetector;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.crash.RequestSuspects;
import org.poplarwharf.internal.fleet.CallerLimits;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.TargetConnectionPool;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.stream.StreamOrigins;

/** The collaborators that the exchanges of a node share. Confined to the event loop. */
final class GatewayContext {
    private GatewaySettings settings;
    private final HeaderCodec headerCodec;
    private final EventLoop loop;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final FleetView view;
    private final MonotonicClock clock;
    private final ReachabilityWatch reachabilityWatch;
    private final PeerNodes peers = new PeerNodes();
    private final TargetConnectionPool connections;
    private final RetryBudgetShare retryBudget;
    private final CrashHistory crashHistory;
    private final CrashDetector crashDetector;
    private final ForwardingPolicy policy = new ForwardingPolicy();
    private final String keyPrefix;
    private final TargetStatements statements;
    private TargetSelector plainSelector;
    private TargetSelector engineSelector;
    private final ConnectionProtection protection;
    private final KeysInForce keysInForce = new KeysInForce();
    private final GracePeriod gracePeriod = new GracePeriod();
    private final RunTimes runTimes;
    private final CallerIdentification callers;
    private QuotaGate quotaGate;
    private TargetLimits targetLimits;
    private StreamOrigins streamOrigins;
    private long keyCount;

    GatewayContext(
            GatewaySettings settings,
            HeaderCodec headerCodec,
            EventLoop loop,
            DecisionLog log,
            GatewayMetrics metrics,
            FleetView view,
            MonotonicClock clock,
            CrashHistory crashHistory,
            CrashDetector crashDetector) {
        this.settings = settings;
        this.headerCodec = headerCodec;
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
        this.view = view;
        this.clock = clock;
        this.crashHistory = crashHistory;
        this.crashDetector = crashDetector;
        this.reachabilityWatch = new ReachabilityWatch(view, clock, loop, log, metrics);
        this.connections = new TargetConnectionPool(
                loop, reachabilityWatch.reachability(), new BrokenResponseRecorder(log, metrics));
        this.retryBudget = new RetryBudgetShare(
                settings.retryRatio(), settings.minRetryCount(), settings.retryWindowMillis(), clock.nowMillis());
        this.statements =
                new TargetStatements(view, new BrittleTargets(settings.nodeId()), clock::nowMillis, log, metrics);
        this.callers = new CallerIdentification(view, keysInForce, settings.accounts());
        this.protection = new ConnectionProtection(
                HeldMemory.largeBudgetBytes(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory()),
                settings.maxDescriptorCount(),
                log,
                metrics,
                clock);
        this.runTimes = new RunTimes(clock.nowMillis());
        this.keyPrefix = settings.nodeId() + "-" + Long.toString(System.nanoTime(), Character.MAX_RADIX) + "-";
    }

    void reload(GatewaySettings latest) {
        settings = latest;
        retryBudget.setLimits(latest.retryRatio(), latest.minRetryCount(), latest.retryWindowMillis());
    }

    /** What the node does against connections that do not behave. */
    ConnectionProtection protection() {
        return protection;
    }

    /** Returns the limits in force on the requests of callers. */
    CallerLimits callerLimits() {
        return view.plan().map(FleetPlan::limits).orElse(CallerLimits.DEFAULTS);
    }

    void setQuotaGate(QuotaGate gate) {
        quotaGate = gate;
    }

    /** Identifies callers by the keys that their requests carry. */
    CallerIdentification callers() {
        return callers;
    }

    /** What other nodes have stated of the keys in force. */
    KeysInForce keysInForce() {
        return keysInForce;
    }

    void setSelectors(
            TargetSelector forPlainServices, TargetSelector forEngines, TargetLimits limits, StreamOrigins origins) {
        streamOrigins = origins;
        plainSelector = forPlainServices;
        engineSelector = forEngines;
        targetLimits = limits;
    }

    /** The time that is left for requests once the node drains. */
    GracePeriod gracePeriod() {
        return gracePeriod;
    }

    /** How long requests have lately run. */
    RunTimes runTimes() {
        return runTimes;
    }

    /** Logs an event of a request, with the time that a draining node has left for requests. */
    void logRequestEvent(String event, Object... fields) {
        List<Object> all = new ArrayList<>(List.of(fields));
        gracePeriod.leftMillis(nowMillis()).ifPresent(left -> Collections.addAll(all, "graceLeftMillis", left));
        log.log(event, all.toArray());
    }

    TargetStatements statements() {
        return statements;
    }

    /** Returns whether a run may continue at a target without a permit of the lease holder. */
    boolean mayContinueAt(Target target) {
        return !targetLimits.isLimited(target.id()) && statements.accepts(target);
    }

    ReachabilityWatch reachabilityWatch() {
        return reachabilityWatch;
    }

    /** The nodes to which this one may send requests while it reaches no target. */
    PeerNodes peers() {
        return peers;
    }

    /**
     * Returns the selector of targets for one request.
     *
     * @param mayForward whether it may select another node, if this one reaches no target
     */
    TargetSelector selectorFor(
            String service, CallerIdentity caller, RequestTraits traits, long deadlineMillis, boolean mayForward) {
        TargetSelector own = selectorFor(service, caller, traits, deadlineMillis);
        return mayForward ? new PeerForwardingSelector(own, reachabilityWatch.reachability(), peers, this) : own;
    }

    private TargetSelector selectorFor(
            String service, CallerIdentity caller, RequestTraits traits, long deadlineMillis) {
        TargetSelector targets = selectorFor(service);
        Optional<ClientAccount> limited =
                caller.knownAccount().filter(account -> account.quota().isPresent());
        if (limited.isEmpty()) {
            return targets;
        }
        ClientAccount account = limited.get();
        double units = account.quota().orElseThrow().cost(traits);
        return new QuotaSelector(targets, quotaGate, account, units, () -> deadlineMillis - nowMillis());
    }

    private TargetSelector selectorFor(String service) {
        boolean hasEngine = view.plan()
                .map(FleetPlan::services)
                .map(services -> services.get(service))
                .filter(spec -> spec.engine().isPresent())
                .isPresent();
        return hasEngine ? engineSelector : plainSelector;
    }

    /** Returns a key that is unique among the requests of all nodes. */
    String nextKey() {
        keyCount++;
        return keyPrefix + keyCount;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    Future<?> schedule(long delayMillis, Runnable task) {
        return loop.schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    long planVersion() {
        return view.plan().map(FleetPlan::version).orElse(0L);
    }

    GatewaySettings settings() {
        return settings;
    }

    HeaderCodec headerCodec() {
        return headerCodec;
    }

    DecisionLog log() {
        return log;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    FleetView view() {
        return view;
    }

    TargetConnectionPool connections() {
        return connections;
    }

    RetryBudgetShare retryBudget() {
        return retryBudget;
    }

    StreamOrigins streamOrigins() {
        return streamOrigins;
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    /** Returns whether and why a request is refused, since it or a part of its prompt has crashed targets. */
    Optional<CrashHistory.Refusal> crashRefusal(RequestSuspects suspects) {
        return crashHistory.refusal(suspects, nowMillis());
    }

    ForwardingPolicy policy() {
        return policy;
    }
}
