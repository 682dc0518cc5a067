package org.poplarwharf.internal.admin;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeLog;
import org.poplarwharf.internal.kernel.NodeLogEvent;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Evidence;
import org.poplarwharf.internal.state.CellStateView;

/**
 * Commits operators' changes to the state of cells. Each change is a record in the cell's stream, so that every node
 * applies it and concurrent changes get the same result on every node.
 *
 * <p>Confined to the control thread.
 */
final class AdminChanges {
    private static final long COMMIT_TIMEOUT_MILLIS = 5_000;

    private final NodeContext context;
    private final NodeLog log;

    AdminChanges(NodeContext context) {
        this.context = context;
        log = context.findService(NodeLog.class).orElseThrow();
    }

    /** The request body by which an operator asserts that the order of an intent can no longer arrive at its target. */
    record SettleRequest(
            @JsonProperty(required = true) String cell,
            @JsonProperty(required = true) long intentOffset) {}

    /** Excludes a target from service, or includes it again. */
    Promise<HttpResponse> setExcluded(String target, boolean excluded) {
        FleetConfig config = config();
        Optional<CellSpec> cell = config.target(target).flatMap(config::cellOf);
        if (cell.isEmpty()) {
            throw AdminResponses.unknownPath("/targets/" + target);
        }
        return commit(cell.get().name(), new CellRecord.TargetExcluded(target, excluded))
                .then(done ->
                        AdminResponses.json(new AdminResponses.ChangeResponse(excluded ? "excluded" : "included")));
    }

    /** Settles an open order on the operator's assertion. */
    Promise<HttpResponse> settleOrder(HttpRequest request) {
        return request.loadBody().then(body -> settleOrder(parseSettleRequest(body)));
    }

    /** Lifts the condemnation of a fingerprint in every cell that suspects it. */
    Promise<HttpResponse> liftCondemnation(String fingerprint) {
        List<String> cells = config().cells().stream()
                .map(CellSpec::name)
                .filter(cell -> isSuspect(cell, fingerprint))
                .toList();
        if (cells.isEmpty()) {
            throw AdminResponses.unknownPath("/suspects/" + fingerprint);
        }
        return Promises.all(cells.stream().map(cell -> commit(cell, new CellRecord.CondemnationLifted(fingerprint))))
                .then(done -> AdminResponses.json(new AdminResponses.ChangeResponse("lifted")));
    }

    private Promise<HttpResponse> settleOrder(SettleRequest request) {
        CellStateView state = cells().flatMap(view -> view.state(request.cell()))
                .orElseThrow(() -> AdminResponses.unknownPath("/cells/" + request.cell()));
        CellRecord record = new CellRecord.OrderSettled(state.epoch(), request.intentOffset(), Evidence.OPERATOR_WORD);
        return commit(request.cell(), record)
                .then(done -> AdminResponses.json(new AdminResponses.ChangeResponse("settled")));
    }

    private Promise<Void> commit(String cell, CellRecord record) {
        RecordStream<CellRecord> stream = cells().flatMap(view -> view.stream(cell))
                .orElseThrow(() -> AdminResponses.unknownPath("/cells/" + cell));
        String recordType = record.getClass().getSimpleName();
        log.logEvent(NodeLogEvent.ADMIN_CHANGE, recordType);
        return stream.commit(record, COMMIT_TIMEOUT_MILLIS).then(applied -> checkAccepted(recordType, applied));
    }

    private static Promise<Void> checkAccepted(String recordType, ApplyResult applied) {
        return applied.accepted()
                ? Promise.complete()
                : Promise.ofException(Reporter.recordRejected(recordType, applied.reason()));
    }

    private static SettleRequest parseSettleRequest(ByteBuf body) {
        try {
            return AdminResponses.JSON.readValue(body.getArray(), SettleRequest.class);
        } catch (IOException e) {
            throw Reporter.invalidAdminBody(e);
        }
    }

    private boolean isSuspect(String cell, String fingerprint) {
        return cells().flatMap(view -> view.state(cell))
                .map(state -> state.suspects().stream()
                        .anyMatch(suspect -> suspect.fingerprint().equals(fingerprint)))
                .orElse(false);
    }

    private Optional<CellView> cells() {
        return context.findService(CellView.class);
    }

    private FleetConfig config() {
        return context.findService(ConfigView.class).map(ConfigView::current).orElse(FleetConfig.EMPTY);
    }
}
