package org.poplarwharf.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.poplarwharf.internal.log.CellStreamNodes.Node;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;

class FoldingStreamPropertyTest {
    private static final int RECORDS = 60;
    private static final long TIMEOUT_MILLIS = 10_000;

    @Property(tries = 25, seed = "20261203")
    void every_reader_has_the_same_bytes_whatever_the_faults(@ForAll long seed) {
        Random random = new Random(seed);
        try (TestEventLoop loop = new TestEventLoop()) {
            FakeEventLog log = new FakeEventLog(loop.eventloop(), seed);
            log.lostResponseProbability = 0.3;
            log.lateAppendProbability = 0.2;
            log.maxPageRecords = 1 + random.nextInt(5);
            Node first = CellStreamNodes.node(loop, log, "n1", 1, CellStreamNodes.SETTINGS);
            Node second = CellStreamNodes.node(loop, log, "n2", 1, CellStreamNodes.SETTINGS);
            List<Promise<ApplyResult>> commits = new ArrayList<>();
            for (int i = 0; i < RECORDS; i++) {
                Node writer = random.nextBoolean() ? first : second;
                CellRecord record = record(random, i);
                loop.run(() -> commits.add(writer.stream().commit(record, TIMEOUT_MILLIS)));
                boolean down = random.nextInt(8) == 0;
                loop.run(() -> log.outage = down);
            }
            loop.run(() -> log.outage = false);
            loop.call(() -> Promises.all(commits));
            long covered = loop.get(() -> first.stream().appliedOffset());
            loop.call(() -> first.stream().commitCheckpoint(TIMEOUT_MILLIS));
            loop.run(() -> log.dropBefore(CellStreamNodes.STREAM, RecordBatch.logOffset(covered) + 1));
            Node late = CellStreamNodes.node(loop, log, "n3", 1, CellStreamNodes.SETTINGS);
            ApplyResult last = loop.call(() -> second.stream().commit(record(random, RECORDS), TIMEOUT_MILLIS));

            loop.awaitUntil(
                    () -> List.of(first, late).stream().allMatch(n -> n.stream().appliedOffset() >= last.offset()));
            loop.run(() -> {
                assertThat(second.snapshot()).isEqualTo(first.snapshot());
                assertThat(late.snapshot()).isEqualTo(first.snapshot());
            });
        }
    }

    private static CellRecord record(Random random, int index) {
        String key = "k" + random.nextInt(4);
        Author author = new Author("n", 1);
        return random.nextBoolean()
                ? new CellRecord.CallClaimed(key, "a" + index, author, "f")
                : new CellRecord.CallReleased(key, "a" + random.nextInt(RECORDS));
    }
}
