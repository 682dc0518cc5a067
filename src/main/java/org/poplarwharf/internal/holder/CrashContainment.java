package org.poplarwharf.internal.holder;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.crash.CrashDetector;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.crash.CrashTopic;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.http.RefusalProbe;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.topic.KeyedLog;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Assembles what a node needs to refuse requests that crash targets: detection, history, and exchange with other nodes.
 *
 * <p>Invariant: only the holder and nodes without one read the records on the platform's log. Confined to the event loop.
 */
final class CrashContainment {
    private static final String TOPIC = "poplarwharf-crashes";

    /** A target's entry is removed after this many missed heartbeats. */
    private static final int MISSED_HEARTBEATS_COUNT = 3;

    /** The time that the platform and this node need, in addition, to notice that an entry was removed. */
    private static final long ENTRY_DELAY_MILLIS = 1_000;

    private static final long READ_GAP_MILLIS = 500;

    /** The longest time that the log holds a read back. Crashes also arrive through the holder, without the log. */
    private static final long READ_WAIT_MILLIS = 30_000;

    private static final long RETRY_MILLIS = 250;
    private static final long MAX_RETRY_MILLIS = 800;
    private static final long EXPIRY_INTERVAL_MILLIS = 60_000;

    private final CrashHistory history = new CrashHistory();
    private final TopicFollower.Timer timer;
    private final CrashExchange exchange;
    private final CrashDetector detector;
    private final TopicFollower follower;

    /**
     * Creates the parts.
     *
     * @param targetReader reads the targets' entries soon; called if a target that lost a run does not refuse connections,
     *     because it may have restarted
     */
    CrashContainment(
            GatewaySettings settings,
            FleetView view,
            EventLoop loop,
            KeyedLog platformLog,
            TopicFollower.Timer timer,
            LongSupplier clock,
            DecisionLog log,
            CrashExchange.Peers peers,
            Runnable targetReader) {
        this.timer = timer;
        CrashTopic topic = new CrashTopic(TOPIC, platformLog, timer, clock, log, this::handleRecords);
        this.exchange = new CrashExchange(history, topic, clock, log, peers);
        long entryRemovalMillis = MISSED_HEARTBEATS_COUNT * settings.heartbeatIntervalMillis()
                + settings.targetRemovalMillis()
                + ENTRY_DELAY_MILLIS;
        this.detector = new CrashDetector(
                settings.nodeId(),
                history,
                view::target,
                probe(loop, targetReader),
                clock,
                entryRemovalMillis,
                exchange::crashesDetected,
                exchange::requestSucceeded);
        this.follower = new TopicFollower(
                TOPIC,
                platformLog,
                new TopicFollower.PollTimings(READ_GAP_MILLIS, READ_WAIT_MILLIS, RETRY_MILLIS, MAX_RETRY_MILLIS),
                timer,
                topic,
                () -> peers.isHolding() || !peers.isHolderResponding());
    }

    private static CrashDetector.ConnectionProbe probe(EventLoop loop, Runnable targetReader) {
        RefusalProbe probe = new RefusalProbe(loop);
        return (address, refused) -> probe.connect(address, isRefused -> {
            refused.accept(isRefused);
            if (!isRefused) {
                targetReader.run();
            }
        });
    }

    private void handleRecords(List<TargetCrash> crashes) {
        exchange.crashesRead(crashes);
    }

    CrashHistory history() {
        return history;
    }

    CrashDetector detector() {
        return detector;
    }

    CrashExchange exchange() {
        return exchange;
    }

    /** Starts to read the records and to remove expired ones. */
    void start() {
        follower.start();
        removeExpired();
    }

    private void removeExpired() {
        exchange.removeExpired();
        timer.schedule(EXPIRY_INTERVAL_MILLIS, this::removeExpired);
    }
}
