package org.poplarwharf.internal.place;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.admission.ReplicaPool;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.PeerNetwork;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellState;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.plugins.ArtifactId;

/**
 * A fake cluster with one cell {@code c} whose lease holder is another node. Tests change the holder and cut its
 * link.
 */
public final class FakeCluster implements CellView, PeerNetwork {
    public final List<PeerMessage> sent = new ArrayList<>();
    public final List<ReplicaPool.Replica> warmReplicas = new ArrayList<>();
    public Optional<String> holderAddress = Optional.of("a:1");
    public boolean linked = true;
    public final CellState state = new CellState();
    private final List<Listener> listeners = new ArrayList<>();

    public void receive(String peerAddress, PeerMessage message) {
        List.copyOf(listeners).forEach(listener -> listener.onMessage(peerAddress, message));
    }

    public void cutLink(String peerAddress) {
        List.copyOf(listeners).forEach(listener -> listener.onDisconnected(peerAddress));
    }

    public <T> List<T> sent(Class<T> type) {
        return sent.stream().filter(type::isInstance).map(type::cast).toList();
    }

    public static AdmissionRequest admissionRequest(String requestId) {
        return new AdmissionRequest(requestId, ArtifactId.model("m"), "c", "t", "z", 1_000, "f", 0, List.of());
    }

    @Override
    public boolean send(String peerAddress, PeerMessage message) {
        if (linked) {
            sent.add(message);
        }
        return linked;
    }

    @Override
    public List<String> connectedAddresses() {
        return List.of();
    }

    @Override
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    @Override
    public List<String> cellsFor(ArtifactId artifact, String zone) {
        return List.of("c");
    }

    @Override
    public Optional<String> cellForCall(String callKey) {
        return Optional.of("c");
    }

    @Override
    public Optional<Holder> holder(String cell) {
        return holderAddress.map(address -> new Holder(new CellRecord.Author("n2", 1), address, 1, false));
    }

    @Override
    public Optional<AdmissionController> localAdmission(String cell) {
        return Optional.empty();
    }

    @Override
    public Optional<RecordStream<CellRecord>> stream(String cell) {
        return Optional.empty();
    }

    @Override
    public Optional<CellStateView> state(String cell) {
        return Optional.of(state);
    }

    @Override
    public List<ReplicaPool.Replica> lastKnownReplicas(ArtifactId artifact) {
        return warmReplicas;
    }

    @Override
    public boolean isCondemned(String fingerprint) {
        return fingerprint.equals("condemned");
    }

    public static <T> T failure(Promise<?> promise, Class<T> type) {
        return type.cast(promise.getException());
    }
}
