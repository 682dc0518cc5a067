package org.poplarwharf.internal.config;

import com.codahale.metrics.Gauge;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeLog;
import org.poplarwharf.internal.kernel.NodeLogEvent;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.log.Checkpointer;
import org.poplarwharf.internal.log.FoldingStream;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.internal.log.StreamContext;
import org.poplarwharf.internal.log.StreamContextFactory;
import org.poplarwharf.internal.log.StreamSettings;
import org.poplarwharf.internal.peer.PeerMessage.ConfigVersion;
import org.poplarwharf.internal.peer.PeerNetwork;

/**
 * Reads the configuration stream and provides the current configuration to other roles.
 *
 * <p>Invariants: the current version never decreases; configuration is stored only in the platform's log and in the
 * memory of nodes. If the log is unreachable or no longer retains the records, the node fetches the state from a peer.
 * Once ready, the role stays ready. Confined to the control thread.
 */
final class ConfigRole implements Role, ConfigView {
    static final String NAME = "config";

    private static final long SYNC_INTERVAL_MILLIS = 500;

    private final NodeContext context;
    private final StreamSettings settings;
    private final ConfigFold fold = new ConfigFold();
    private final List<Consumer<FleetConfig>> listeners = new ArrayList<>();
    private FoldingStream<ConfigRecord> stream;
    private Checkpointer<ConfigRecord> checkpointer;
    private Optional<PeerConfigSync> peerSync = Optional.empty();
    private FleetConfig current = FleetConfig.EMPTY;
    private boolean hasBeenReady;
    private boolean stopped;

    ConfigRole(NodeContext context, StreamSettings settings) {
        this.context = context;
        this.settings = settings;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Promise<Void> start() {
        StreamContext parts = StreamContextFactory.of(context).createContext(ConfigRecord.STREAM, settings);
        stream = new FoldingStream<>(parts, ConfigRecord.class, fold);
        checkpointer = new Checkpointer<>(parts, stream, fold);
        stream.addListener(this::onApplied);
        peerSync = context.findService(PeerNetwork.class)
                .map(found -> new PeerConfigSync(
                        found, this::ownVersion, () -> stream.createCheckpoint(), this::onPeerCheckpoint));
        context.registerService(ConfigView.class, this);
        context.metrics().registerGauge("config.version", (Gauge<Long>) () -> current.version());
        stream.start();
        checkpointer.activate();
        syncPeriodically();
        return Promise.complete();
    }

    @Override
    public Promise<Void> drain() {
        checkpointer.deactivate();
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        checkpointer.deactivate();
        stream.stop();
        return Promise.complete();
    }

    @Override
    public FleetConfig current() {
        return current;
    }

    @Override
    public boolean isReady() {
        if (!hasBeenReady) {
            hasBeenReady = isUpToDate();
        }
        return hasBeenReady;
    }

    @Override
    public List<PeerVersion> peerVersions() {
        return peerSync.map(PeerConfigSync::peerVersions).orElse(List.of());
    }

    private boolean isUpToDate() {
        if (peerSync.isPresent() && peerSync.get().isAnyPeerAhead()) {
            return false;
        }
        boolean learnedFromPeers =
                current.version() >= 0 && peerSync.isPresent() && peerSync.get().haveAllPeersReported();
        return stream.isCaughtUp() || learnedFromPeers;
    }

    @Override
    public void onChange(Consumer<FleetConfig> listener) {
        listeners.add(listener);
        listener.accept(current);
    }

    private ConfigVersion ownVersion() {
        return new ConfigVersion(current.version(), stream.appliedOffset());
    }

    private void syncPeriodically() {
        if (stopped) {
            return;
        }
        activateNewerConfig();
        peerSync.ifPresent(PeerConfigSync::requestNewerConfig);
        context.controlLoop().delayBackground(SYNC_INTERVAL_MILLIS, this::syncPeriodically);
    }

    private void onApplied(ConfigRecord record, ApplyResult applied) {
        if (record instanceof ConfigRecord.ChangeProposed && applied.accepted()) {
            activateNewerConfig();
        }
    }

    private void onPeerCheckpoint(ConfigRecord checkpoint) {
        if (stream.restoreIfNewer(checkpoint)) {
            activateNewerConfig();
        }
    }

    /** Activates the configuration of the fold if it is newer. A checkpoint can change the fold without any record. */
    private void activateNewerConfig() {
        if (fold.config().version() <= current.version()) {
            return;
        }
        current = fold.config();
        context.findService(NodeLog.class)
                .ifPresent(log -> log.logEvent(NodeLogEvent.CONFIG_IN_FORCE, Long.toString(current.version())));
        List.copyOf(listeners).forEach(listener -> listener.accept(current));
        peerSync.ifPresent(PeerConfigSync::announceVersion);
    }
}
