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
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.internal.state.CellRecord.CellCheckpoint;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The state of a cell, folded from the records of its stream.
 *
 * <p>Invariants: the state is a pure function of the applied records in their order. A record that carries an epoch
 * other than the current one changes nothing. Confined to the control thread.
 */
public final class CellState implements CellStateView, Fold<CellRecord> {
    private static final MessagePackCodec<CellSnapshot> CODEC = new MessagePackCodec<>(CellSnapshot.class);
    private static final long NO_VERSION = -1;
    private static final byte[] EMPTY_WRITERS = {};

    private final LeaseState lease = new LeaseState();
    private final SlotTable slots = new SlotTable();
    private final SuspectFingerprintTable suspectFingerprints = new SuspectFingerprintTable();
    private final CallClaimTable callClaims = new CallClaimTable();
    private long adoptedVersion = NO_VERSION;
    private final AuthorTable authors = new AuthorTable();
    private final TreeSet<String> excludedTargets = new TreeSet<>();

    @Override
    public ApplyResult apply(long recordOffset, CellRecord record) {
        FoldDecision decision = applyRecord(recordOffset, record);
        authors.noteAuthor(record, slots.all(), lease.current());
        return decision.toApplied(recordOffset);
    }

    private FoldDecision applyRecord(long offset, CellRecord record) {
        return switch (record) {
            case CellRecord.LeaseClaimed r -> lease.claim(offset, r);
            case CellRecord.LeaseRenewed r -> ifCurrentEpoch(r.epoch(), () -> lease.renew(offset));
            case CellRecord.LeaseReleased r -> ifCurrentEpoch(r.epoch(), lease::release);
            case CellRecord.AuthorPlaced r -> FoldDecision.ACCEPTED;
            case CellRecord.AuthorSteppedDown r -> slots.stepDown(r);
            case CellRecord.LoadIntended r -> ifCurrentEpoch(r.epoch(), () -> slots.intendLoad(offset, r));
            case CellRecord.UnloadIntended r -> ifCurrentEpoch(r.epoch(), () -> slots.intendUnload(offset, r));
            case CellRecord.OrderSettled r -> ifCurrentEpoch(r.epoch(), () -> slots.settle(r.intentOffset()));
            case CellRecord.LoadConfirmed r ->
                ifCurrentEpoch(r.epoch(), () -> slots.confirmLoad(r.target(), r.artifact()));
            case CellRecord.SlotRetired r -> ifCurrentEpoch(r.epoch(), () -> slots.retire(r.target(), r.artifact()));
            case CellRecord.TargetRemoved r -> ifCurrentEpoch(r.epoch(), () -> slots.retireVm(r.vmId()));
            case CellRecord.ConfigAdopted r -> ifCurrentEpoch(r.epoch(), () -> adopt(r.configVersion()));
            case CellRecord.TargetExcluded r -> exclude(r);
            case CellRecord.TargetDied r -> ifCurrentEpoch(r.epoch(), () -> suspectFingerprints.recordDeath(offset, r));
            case CellRecord.CondemnationLifted r -> suspectFingerprints.lift(r.fingerprint());
            case CellRecord.CallClaimed r -> callClaims.claim(offset, r);
            case CellRecord.CallReleased r -> callClaims.release(r);
            case CellRecord.CallEnded r -> callClaims.end(r);
            case CellRecord.CallsForgotten r ->
                ifCurrentEpoch(r.epoch(), () -> callClaims.removeThrough(r.throughOffset()));
            case CellCheckpoint r -> FoldDecision.ACCEPTED;
        };
    }

    private FoldDecision ifCurrentEpoch(long recordEpoch, Supplier<FoldDecision> action) {
        if (recordEpoch != epoch() || recordEpoch == LeaseState.NO_EPOCH) {
            return FoldDecision.rejected("epoch " + recordEpoch + " is not the current one, " + epoch());
        }
        return action.get();
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

    /** Returns the encoded state. Equal states have equal bytes. */
    public byte[] snapshot() {
        return encode(EMPTY_WRITERS);
    }

    private byte[] encode(byte[] writers) {
        return CODEC.encode(new CellSnapshot(
                lease.current(),
                adoptedVersion,
                slots.all(),
                List.copyOf(excludedTargets),
                suspectFingerprints.entries(),
                callClaims.all(),
                authors.all(),
                writers));
    }

    @Override
    public CellRecord createCheckpoint(long throughOffset, byte[] writers) {
        return new CellCheckpoint(throughOffset, encode(writers));
    }

    @Override
    public OptionalLong checkpointOffset(CellRecord record) {
        return record instanceof CellCheckpoint checkpoint
                ? OptionalLong.of(checkpoint.throughOffset())
                : OptionalLong.empty();
    }

    @Override
    public byte[] restore(CellRecord checkpoint) {
        if (!(checkpoint instanceof CellCheckpoint cellCheckpoint)) {
            throw Reporter.malformedMessage("a cell checkpoint", null);
        }
        CellSnapshot snapshot = CODEC.decode(cellCheckpoint.state(), "a cell checkpoint");
        lease.restore(snapshot.lease());
        adoptedVersion = snapshot.adoptedVersion();
        slots.restore(snapshot.slots());
        suspectFingerprints.restore(snapshot.suspects());
        callClaims.restore(snapshot.calls());
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
    public boolean isCondemned(String fingerprint) {
        return suspectFingerprints.isCondemned(fingerprint);
    }

    @Override
    public Collection<SuspectFingerprint> suspects() {
        return suspectFingerprints.all();
    }

    @Override
    public Optional<CallClaim> callClaim(String callKey) {
        return callClaims.find(callKey);
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
        return callClaims.count();
    }
}
