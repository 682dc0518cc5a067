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
 * Changes that operators make to a cell's state. Each is a record of the cell's stream, so that every node learns it
 * and racing operators get the same verdict everywhere.
 *
 * <p>Belongs to the control thread.
 */
final class AdminChanges {
    private static final long COMMIT_MILLIS = 5_000;

    private final NodeContext context;
    private final NodeLog log;

    AdminChanges(NodeContext context) {
        this.context = context;
        log = context.findService(NodeLog.class).orElseThrow();
    }

    /** The body of a settlement: the operator's word that the order of an intent can't arrive any more. */
    record Settlement(
            @JsonProperty(required = true) String cell,
            @JsonProperty(required = true) long intentOffset) {}

    /** Takes a target out of service, or puts it back. */
    Promise<HttpResponse> exclude(String target, boolean excluded) {
        FleetConfig config = config();
        Optional<CellSpec> cell = config.target(target).flatMap(config::cellOf);
        if (cell.isEmpty()) {
            throw AdminAnswers.unknownPath("/targets/" + target);
        }
        return commit(cell.get().name(), new CellRecord.TargetExcluded(target, excluded))
                .then(done -> AdminAnswers.json(new AdminAnswers.Done(excluded ? "excluded" : "included")));
    }

    /** Settles an open order by the operator's word. */
    Promise<HttpResponse> settle(HttpRequest request) {
        return request.loadBody().then(body -> settle(settlement(body)));
    }

    /** Lifts the condemnation of a fingerprint in every cell that suspects it. */
    Promise<HttpResponse> liftCondemnation(String fingerprint) {
        List<String> cells = config().cells().stream()
                .map(CellSpec::name)
                .filter(cell -> suspects(cell, fingerprint))
                .toList();
        if (cells.isEmpty()) {
            throw AdminAnswers.unknownPath("/suspects/" + fingerprint);
        }
        return Promises.all(cells.stream().map(cell -> commit(cell, new CellRecord.CondemnationLifted(fingerprint))))
                .then(done -> AdminAnswers.json(new AdminAnswers.Done("lifted")));
    }

    private Promise<HttpResponse> settle(Settlement settlement) {
        CellStateView state = cells().flatMap(view -> view.state(settlement.cell()))
                .orElseThrow(() -> AdminAnswers.unknownPath("/cells/" + settlement.cell()));
        CellRecord word = new CellRecord.OrderSettled(state.epoch(), settlement.intentOffset(), Evidence.OPERATOR_WORD);
        return commit(settlement.cell(), word).then(done -> AdminAnswers.json(new AdminAnswers.Done("settled")));
    }

    private Promise<Void> commit(String cell, CellRecord record) {
        RecordStream<CellRecord> stream = cells().flatMap(view -> view.stream(cell))
                .orElseThrow(() -> AdminAnswers.unknownPath("/cells/" + cell));
        String what = record.getClass().getSimpleName();
        log.logEvent(NodeLogEvent.ADMIN_CHANGE, what);
        return stream.commit(record, COMMIT_MILLIS).then(applied -> accepted(what, applied));
    }

    private static Promise<Void> accepted(String what, ApplyResult applied) {
        return applied.accepted()
                ? Promise.complete()
                : Promise.ofException(Reporter.recordRejected(what, applied.reason()));
    }

    private static Settlement settlement(ByteBuf body) {
        try {
            return AdminAnswers.JSON.readValue(body.getArray(), Settlement.class);
        } catch (IOException e) {
            throw Reporter.invalidAdminBody(e);
        }
    }

    private boolean suspects(String cell, String fingerprint) {
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
