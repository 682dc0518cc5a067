package org.poplarwharf.internal.admin;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.poplarwharf.internal.admin.StatusReport.CellStatus;
import org.poplarwharf.internal.admin.StatusReport.OrderStatus;
import org.poplarwharf.internal.admin.StatusReport.PeerStatus;
import org.poplarwharf.internal.admin.StatusReport.SlotStatus;
import org.poplarwharf.internal.admin.StatusReport.SuspectStatus;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeLifeCycle;
import org.poplarwharf.internal.kernel.NodeLifeCycle.Phase;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellStateView;

/** Gathers the status of a node from what the roles have offered. Belongs to the control thread. */
final class StatusCollector {
    private static final long NO_EPOCH = -1;

    private final NodeContext context;

    StatusCollector(NodeContext context) {
        this.context = context;
    }

    StatusReport collect() {
        Phase phase = context.findService(NodeLifeCycle.class).orElseThrow().phase();
        Optional<ConfigView> view = context.findService(ConfigView.class);
        FleetConfig config = view.map(ConfigView::current).orElse(FleetConfig.EMPTY);
        return new StatusReport(
                context.settings().nodeId(),
                context.settings().zone(),
                lowerCase(phase),
                phase == Phase.RUNNING && view.map(ConfigView::isReady).orElse(false),
                config.version(),
                view.map(StatusCollector::peers).orElse(List.of()),
                cells(config));
    }

    private static List<PeerStatus> peers(ConfigView view) {
        return view.peerVersions().stream()
                .map(peer -> new PeerStatus(peer.peerAddress(), peer.version()))
                .toList();
    }

    private List<CellStatus> cells(FleetConfig config) {
        Optional<CellView> view = context.findService(CellView.class);
        if (view.isEmpty()) {
            return List.of();
        }
        return config.cells().stream()
                .map(cell -> cell(view.get(), config, cell.name()))
                .toList();
    }

    private static CellStatus cell(CellView view, FleetConfig config, String name) {
        Optional<CellView.Holder> holder = view.holder(name);
        Optional<CellStateView> state = view.state(name);
        Optional<RecordStream<CellRecord>> stream = view.stream(name);
        return new CellStatus(
                name,
                holder.map(h -> h.author().nodeId()).orElse(""),
                holder.map(CellView.Holder::local).orElse(false),
                state.map(CellStateView::epoch).orElse(NO_EPOCH),
                stream.map(RecordStream::isCaughtUp).orElse(false),
                stream.map(RecordStream::millisSinceLastResponse).orElse(Long.MAX_VALUE),
                state.map(StatusCollector::slots).orElse(List.of()),
                state.map(StatusCollector::suspects).orElse(List.of()),
                state.map(s -> excluded(s, config.targetsOf(name))).orElse(List.of()),
                state.map(CellStateView::callClaimCount).orElse(0),
                view.localAdmission(name).map(AdmissionController::queues).orElse(List.of()));
    }

    private static List<SlotStatus> slots(CellStateView state) {
        return state.slots().stream().map(StatusCollector::slot).toList();
    }

    private static SlotStatus slot(CellStateView.Slot slot) {
        List<OrderStatus> orders = slot.openOrders().stream()
                .map(order -> new OrderStatus(
                        lowerCase(order.kind()),
                        order.intentOffset(),
                        order.epoch(),
                        order.author().nodeId()))
                .toList();
        return new SlotStatus(
                slot.target(),
                slot.artifact().toString(),
                slot.version(),
                slot.sizeBytes(),
                slot.fencing(),
                lowerCase(slot.phase()),
                orders);
    }

    private static List<SuspectStatus> suspects(CellStateView state) {
        return state.suspects().stream()
                .map(suspect -> new SuspectStatus(suspect.fingerprint(), suspect.deaths(), suspect.condemned()))
                .toList();
    }

    private static List<String> excluded(CellStateView state, List<TargetSpec> targets) {
        return targets.stream().map(TargetSpec::name).filter(state::isExcluded).toList();
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
