package org.poplarwharf.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.CallOutcome;
import org.poplarwharf.internal.state.CellRecord.Evidence;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.ArtifactId;

class CellStatePropertyTest {
    private static final int RECORD_COUNT = 150;
    private static final long MEMORY_LIMIT_BYTES = 100;
    private static final int REPLICA_LIMIT = 2;
    private static final byte[] WRITERS = {4, 2};

    @Property(tries = 300, seed = "20261203")
    void slots_stay_within_limits_and_only_records_of_the_current_epoch_change_them(@ForAll long seed) {
        Random random = new Random(seed);
        CellState state = new CellState();
        for (long offset = 0; offset < RECORD_COUNT; offset++) {
            CellRecord record = randomRecord(random, state);
            long epochBefore = state.epoch();
            List<Slot> before = List.copyOf(state.slots());

            state.apply(offset, record);

            assertWithinLimits(state);
            if (record instanceof CellRecord.LoadIntended load && load.epoch() != epochBefore) {
                assertThat(state.slots()).isEqualTo(before);
            }
            if (record instanceof CellRecord.SlotRetired retired && retired.epoch() != epochBefore) {
                assertThat(state.slots()).isEqualTo(before);
            }
        }
    }

    @Property(tries = 200, seed = "20261203")
    void a_fold_resumed_from_a_checkpoint_has_the_same_bytes_as_a_fold_from_the_start(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = RECORD_COUNT - 1) int checkpointOffset) {
        Random random = new Random(seed);
        CellState complete = new CellState();
        List<CellRecord> records = new ArrayList<>();
        CellRecord checkpoint = null;
        for (int offset = 0; offset < RECORD_COUNT; offset++) {
            CellRecord record = randomRecord(random, complete);
            records.add(record);
            complete.apply(offset, record);
            if (offset == checkpointOffset) {
                checkpoint = complete.createCheckpoint(offset, WRITERS);
            }
        }
        CellState resumed = new CellState();
        assertThat(resumed.restore(checkpoint)).isEqualTo(WRITERS);
        for (int offset = checkpointOffset + 1; offset < RECORD_COUNT; offset++) {
            resumed.apply(offset, records.get(offset));
        }
        assertThat(resumed.snapshot()).isEqualTo(complete.snapshot());
    }

    private static void assertWithinLimits(CellState state) {
        Map<String, Long> bytes = state.slots().stream()
                .collect(Collectors.groupingBy(Slot::target, Collectors.summingLong(Slot::sizeBytes)));
        assertThat(bytes.values()).allMatch(used -> used <= MEMORY_LIMIT_BYTES);
        bytes.forEach((target, used) -> assertThat(state.reservedBytes(target)).isEqualTo(used));
        Map<ArtifactId, Long> replicas =
                state.slots().stream().collect(Collectors.groupingBy(Slot::artifact, Collectors.counting()));
        assertThat(replicas.values()).allMatch(count -> count <= REPLICA_LIMIT);
    }

    private static CellRecord randomRecord(Random random, CellState state) {
        long epoch = random.nextInt(5) == 0 ? state.epoch() - 1 : state.epoch();
        Author author = new Author("n" + random.nextInt(2), random.nextInt(2));
        String target = "gpu-" + random.nextInt(3);
        ArtifactId artifact = ArtifactId.parse("m" + random.nextInt(3) + (random.nextBoolean() ? ":a" : ""));
        String key = "k" + random.nextInt(3);
        String attempt = "a" + random.nextInt(2);
        return switch (random.nextInt(19)) {
            case 0 -> randomClaim(random, state, author);
            case 1 -> new CellRecord.LeaseRenewed(epoch);
            case 2 -> new CellRecord.LeaseReleased(epoch);
            case 3 -> new CellRecord.AuthorSteppedDown(author, epoch, openIntentOffsets(state), List.of());
            case 4, 5, 6, 7 -> randomLoad(random, epoch, author, target, artifact);
            case 8 -> new CellRecord.UnloadIntended(epoch, author, target, artifact);
            case 9, 10 -> randomSettlement(random, state, epoch);
            case 11 -> new CellRecord.LoadConfirmed(epoch, target, artifact);
            case 12 -> new CellRecord.SlotRetired(epoch, target, artifact);
            case 13 -> new CellRecord.TargetRemoved(epoch, target, "vm-" + target);
            case 14 -> new CellRecord.TargetDied(epoch, target, attempt, List.of(key), random.nextBoolean());
            case 15 -> new CellRecord.CallClaimed(key, attempt, author, "f");
            case 16 -> new CellRecord.CallReleased(key, attempt);
            case 17 -> new CellRecord.AuthorPlaced(author, "vm-" + attempt, random.nextBoolean());
            default -> new CellRecord.CallEnded(key, attempt, CallOutcome.UNKNOWN, 0, "", new byte[0], false);
        };
    }

    private static CellRecord randomClaim(Random random, CellState state, Author author) {
        long renewalOffset =
                state.lease().map(CellStateView.Lease::renewalOffset).orElse(-1L);
        return new CellRecord.LeaseClaimed(author, "a", state.epoch(), renewalOffset - random.nextInt(2), 1_000);
    }

    private static CellRecord randomLoad(Random random, long epoch, Author author, String target, ArtifactId artifact) {
        int sizeBytes = 10 + random.nextInt(60);
        return new CellRecord.LoadIntended(
                epoch,
                author,
                target,
                "vm-" + target,
                artifact,
                "v1",
                sizeBytes,
                false,
                MEMORY_LIMIT_BYTES,
                REPLICA_LIMIT);
    }

    private static CellRecord randomSettlement(Random random, CellState state, long epoch) {
        List<Long> intents = openIntentOffsets(state);
        long intent = intents.isEmpty() ? 0 : intents.get(random.nextInt(intents.size()));
        return new CellRecord.OrderSettled(epoch, intent, Evidence.ANSWERED);
    }

    private static List<Long> openIntentOffsets(CellState state) {
        return state.slots().stream()
                .flatMap(slot -> slot.openOrders().stream())
                .map(CellStateView.OpenOrder::intentOffset)
                .toList();
    }
}
