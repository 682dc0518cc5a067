package org.poplarwharf.internal.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.log.Fold;
import org.poplarwharf.internal.log.RecordStream.Applied;
import org.poplarwharf.internal.state.CellRecord.CellCheckpoint;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The folded state of a cell's stream.
 *
 * <p>Invariants: the state is a pure function of the records applied, in their order; a record of an epoch that is not
 * the current one changes nothing. Belongs to the control thread.
 */
public final class CellState implements CellStateView, Fold<CellRecord> {
    private static final MessagePackCodec<CellSnapshot> CODEC = new MessagePackCodec<>(CellSnapshot.class);
    private static final long NO_VERSION = -1;
    private static final byte[] NO_WRITERS = {};

    private final LeaseState lease = new LeaseState();
    private final SlotTable slots = new SlotTable();
    private final SuspectFingerprintTable suspects = new SuspectFingerprintTable();
    private final CallClaimTable calls = new CallClaimTable();
    private long adoptedVersion = NO_VERSION;
    private final AuthorTable authors = new AuthorTable();
    private final TreeSet<String> excludedTargets = new TreeSet<>();

    @Override
    public Applied apply(long recordOffset, CellRecord record) {
        FoldDecision verdict = decide(recordOffset, record);
        authors.noteAuthor(record, slots.all(), lease.current());
        return verdict.toApplied(recordOffset);
    }

    private FoldDecision decide(long offset, CellRecord record) {
        return switch (record) {
            case CellRecord.LeaseClaimed r -> lease.claim(offset, r);
            case CellRecord.LeaseRenewed r -> inEpoch(r.epoch(), () -> lease.renew(offset));
            case CellRecord.LeaseReleased r -> inEpoch(r.epoch(), lease::release);
            case CellRecord.AuthorPlaced r -> FoldDecision.ACCEPTED;
            case CellRecord.AuthorSteppedDown r -> slots.stepDown(r);
            case CellRecord.LoadIntended r -> inEpoch(r.epoch(), () -> slots.intendLoad(offset, r));
            case CellRecord.UnloadIntended r -> inEpoch(r.epoch(), () -> slots.intendUnload(offset, r));
            case CellRecord.OrderSettled r -> inEpoch(r.epoch(), () -> slots.settle(r.intentOffset()));
            case CellRecord.LoadConfirmed r -> inEpoch(r.epoch(), () -> slots.confirmLoad(r.target(), r.artifact()));
            case CellRecord.SlotRetired r -> inEpoch(r.epoch(), () -> slots.retire(r.target(), r.artifact()));
            case CellRecord.TargetRemoved r -> inEpoch(r.epoch(), () -> slots.retireVm(r.vmId()));
            case CellRecord.ConfigAdopted r -> inEpoch(r.epoch(), () -> adopt(r.configVersion()));
            case CellRecord.TargetExcluded r -> exclude(r);
            case CellRecord.TargetDied r -> inEpoch(r.epoch(), () -> suspects.recordDeath(offset, r));
            case CellRecord.CondemnationLifted r -> suspects.lift(r.fingerprint());
            case CellRecord.CallClaimed r -> calls.claim(offset, r);
            case CellRecord.CallReleased r -> calls.release(r);
            case CellRecord.CallEnded r -> calls.end(r);
            case CellRecord.CallsForgotten r -> inEpoch(r.epoch(), () -> calls.forget(r.throughOffset()));
            case CellCheckpoint r -> FoldDecision.ACCEPTED;
        };
    }

    private FoldDecision inEpoch(long recordEpoch, Supplier<FoldDecision> decision) {
        if (recordEpoch != epoch() || recordEpoch == LeaseState.NO_EPOCH) {
            return FoldDecision.rejected("epoch " + recordEpoch + " is not the current one, " + epoch());
        }
        return decision.get();
    }

    private FoldDecision adopt(long configVersion) {
        if (configVersion <= adoptedVersion) {
            return FoldDecision.rejected("configuration " + adoptedVersion + " is adopted already");
        }
        adoptedVersion = configVersion;
        return FoldDecision.ACCEPTED;
    }

    private FoldDecision exclude(CellRecord.TargetExcluded record) {
        if (record.excluded()) {
            excludedTargets.add(record.target());
        } else {
            excludedTargets.remove(record.target());
        }
        return FoldDecision.ACCEPTED;
    }

    /** Returns the state's bytes; equal states have equal bytes. */
    public byte[] snapshot() {
        return encode(NO_WRITERS);
    }

    private byte[] encode(byte[] writers) {
        return CODEC.encode(new CellSnapshot(
                lease.current(),
                adoptedVersion,
                slots.all(),
                List.copyOf(excludedTargets),
                suspects.entries(),
                calls.all(),
                authors.all(),
                writers));
    }

    @Override
    public CellRecord checkpoint(long throughOffset, byte[] writers) {
        return new CellCheckpoint(throughOffset, encode(writers));
    }

    @Override
    public OptionalLong checkpointThrough(CellRecord record) {
        return record instanceof CellCheckpoint checkpoint
                ? OptionalLong.of(checkpoint.throughOffset())
                : OptionalLong.empty();
    }

    @Override
    public byte[] restore(CellRecord checkpoint) {
        if (!(checkpoint instanceof CellCheckpoint found)) {
            throw Reporter.malformedMessage("a checkpoint of a cell", null);
        }
        CellSnapshot snapshot = CODEC.decode(found.state(), "a checkpoint of a cell");
        lease.restore(snapshot.lease());
        adoptedVersion = snapshot.adoptedVersion();
        slots.restore(snapshot.slots());
        suspects.restore(snapshot.suspects());
        calls.restore(snapshot.calls());
        authors.restore(snapshot.authors());
        excludedTargets.clear();
        excludedTargets.addAll(snapshot.excludedTargets());
        return snapshot.writers();
    }

    @Override
    public Optional<Lease> lease() {
        return lease.current();
    }

    @Override
    public long epoch() {
        return lease.epoch();
    }

    @Override
    public long adoptedVersion() {
        return adoptedVersion;
    }

    @Override
    public Collection<Slot> slots() {
        return slots.all();
    }

    @Override
    public Optional<Slot> slot(String target, ArtifactId artifact) {
        return slots.find(target, artifact);
    }

    @Override
    public long reservedBytes(String target) {
        return slots.reservedBytes(target);
    }

    @Override
    public int replicaCount(ArtifactId artifact) {
        return slots.replicaCount(artifact);
    }

    @Override
    public boolean isExcluded(String target) {
        return excludedTargets.contains(target);
    }

    @Override
    public boolean condemned(String fingerprint) {
        return suspects.isCondemned(fingerprint);
    }

    @Override
    public Collection<SuspectFingerprint> suspects() {
        return suspects.all();
    }

    @Override
    public Optional<CallClaim> callClaim(String callKey) {
        return calls.find(callKey);
    }

    @Override
    public Optional<AuthorLocation> authorLocation(String nodeId) {
        return authors.find(nodeId);
    }

    @Override
    public List<AuthorLocation> authorLocations() {
        return authors.all();
    }

    @Override
    public int callClaimCount() {
        return calls.count();
    }
}
