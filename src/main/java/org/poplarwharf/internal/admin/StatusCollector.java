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

/** Builds a node's status report from the services that its roles registered. Confined to the control thread. */
final class StatusCollector {
    private static final long NO_EPOCH = -1;

    private final NodeContext context;

    StatusCollector(NodeContext context) {
        this.context = context;
    }

    /** Returns the current status of this node. */
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
                view.map(StatusCollector::peerStatuses).orElse(List.of()),
                cellStatuses(config));
    }

    private static List<PeerStatus> peerStatuses(ConfigView view) {
        return view.peerVersions().stream()
                .map(peer -> new PeerStatus(peer.peerAddress(), peer.version()))
                .toList();
    }

    private List<CellStatus> cellStatuses(FleetConfig config) {
        Optional<CellView> view = context.findService(CellView.class);
        if (view.isEmpty()) {
            return List.of();
        }
        return config.cells().stream()
                .map(cell -> cellStatus(view.get(), config, cell.name()))
                .toList();
    }

    private static CellStatus cellStatus(CellView view, FleetConfig config, String name) {
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
                state.map(StatusCollector::slotStatuses).orElse(List.of()),
                state.map(StatusCollector::suspectStatuses).orElse(List.of()),
                state.map(s -> excludedTargets(s, config.targetsOf(name))).orElse(List.of()),
                state.map(CellStateView::callClaimCount).orElse(0),
                view.localAdmission(name).map(AdmissionController::queues).orElse(List.of()));
    }

    private static List<SlotStatus> slotStatuses(CellStateView state) {
        return state.slots().stream().map(StatusCollector::slotStatus).toList();
    }

    private static SlotStatus slotStatus(CellStateView.Slot slot) {
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

    private static List<SuspectStatus> suspectStatuses(CellStateView state) {
        return state.suspects().stream()
                .map(suspect -> new SuspectStatus(suspect.fingerprint(), suspect.deaths(), suspect.condemned()))
                .toList();
    }

    private static List<String> excludedTargets(CellStateView state, List<TargetSpec> targets) {
        return targets.stream().map(TargetSpec::name).filter(state::isExcluded).toList();
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
