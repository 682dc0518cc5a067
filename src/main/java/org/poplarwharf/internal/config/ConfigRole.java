package org.poplarwharf.internal.config;

import com.codahale.metrics.Gauge;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.kernel.LogEvent;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeLog;
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
 * Follows the configuration stream and offers the configuration in force.
 *
 * <p>Invariants: the version in force never goes down; nothing is kept outside the platform's log and the memory of the
 * nodes. A node whose log can't be reached, or no longer holds the records, learns the state from a peer. Once ready, the
 * role stays ready. Belongs to the control thread.
 */
final class ConfigRole implements Role, ConfigView {
    static final String NAME = "config";

    private static final long TICK_MILLIS = 500;

    private final NodeContext context;
    private final StreamSettings settings;
    private final ConfigFold fold = new ConfigFold();
    private final List<Consumer<FleetConfig>> listeners = new ArrayList<>();
    private FoldingStream<ConfigRecord> stream;
    private Checkpointer<ConfigRecord> checkpointer;
    private Optional<ConfigPeers> peers = Optional.empty();
    private FleetConfig current = FleetConfig.EMPTY;
    private boolean ready;
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
        stream.addListener(this::applied);
        peers = context.find(PeerNetwork.class)
                .map(found -> new ConfigPeers(found, this::known, () -> stream.createCheckpoint(), this::learned));
        context.offer(ConfigView.class, this);
        context.metrics().registerGauge("config.version", (Gauge<Long>) () -> current.version());
        stream.start();
        checkpointer.activate();
        tick();
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
    public boolean ready() {
        if (!ready) {
            ready = knowsEnough();
        }
        return ready;
    }

    @Override
    public List<PeerVersion> peerVersions() {
        return peers.map(ConfigPeers::versions).orElse(List.of());
    }

    private boolean knowsEnough() {
        if (peers.isPresent() && peers.get().anyAhead()) {
            return false;
        }
        boolean learned =
                current.version() >= 0 && peers.isPresent() && peers.get().allHeard();
        return stream.isCaughtUp() || learned;
    }

    @Override
    public void onChange(Consumer<FleetConfig> listener) {
        listeners.add(listener);
        listener.accept(current);
    }

    private ConfigVersion known() {
        return new ConfigVersion(current.version(), stream.appliedOffset());
    }

    private void tick() {
        if (stopped) {
            return;
        }
        adoptCurrent();
        peers.ifPresent(ConfigPeers::tick);
        context.control().delayBackground(TICK_MILLIS, this::tick);
    }

    private void applied(ConfigRecord record, ApplyResult applied) {
        if (record instanceof ConfigRecord.ChangeProposed && applied.accepted()) {
            adoptCurrent();
        }
    }

    private void learned(ConfigRecord checkpoint) {
        if (stream.restoreIfNewer(checkpoint)) {
            adoptCurrent();
        }
    }

    /** Puts the fold's configuration in force when it is newer; a checkpoint changes the fold without a record. */
    private void adoptCurrent() {
        if (fold.config().version() <= current.version()) {
            return;
        }
        current = fold.config();
        context.find(NodeLog.class)
                .ifPresent(log -> log.event(LogEvent.CONFIG_IN_FORCE, Long.toString(current.version())));
        List.copyOf(listeners).forEach(listener -> listener.accept(current));
        peers.ifPresent(ConfigPeers::announce);
    }
}
