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
    private static final int RECORD_COUNT = 60;
    private static final long TIMEOUT_MILLIS = 10_000;

    @Property(tries = 25, seed = "20261203")
    void all_readers_reach_the_same_state_despite_faults(@ForAll long seed) {
        Random random = new Random(seed);
        try (TestEventLoop eventLoop = new TestEventLoop()) {
            FakeEventLog log = new FakeEventLog(eventLoop.eventloop(), seed);
            log.lostResponseProbability = 0.3;
            log.lateAppendProbability = 0.2;
            log.maxPageRecords = 1 + random.nextInt(5);
            Node first = CellStreamNodes.node(eventLoop, log, "n1", 1, CellStreamNodes.SETTINGS);
            Node second = CellStreamNodes.node(eventLoop, log, "n2", 1, CellStreamNodes.SETTINGS);
            List<Promise<ApplyResult>> commits = new ArrayList<>();
            for (int i = 0; i < RECORD_COUNT; i++) {
                Node writer = random.nextBoolean() ? first : second;
                CellRecord record = randomRecord(random, i);
                eventLoop.run(() -> commits.add(writer.stream().commit(record, TIMEOUT_MILLIS)));
                boolean isOutage = random.nextInt(8) == 0;
                eventLoop.run(() -> log.outage = isOutage);
            }
            eventLoop.run(() -> log.outage = false);
            eventLoop.call(() -> Promises.all(commits));
            long checkpointedOffset = eventLoop.get(() -> first.stream().appliedOffset());
            eventLoop.call(() -> first.stream().commitCheckpoint(TIMEOUT_MILLIS));
            eventLoop.run(() -> log.dropBefore(CellStreamNodes.STREAM, RecordBatch.logOffset(checkpointedOffset) + 1));
            Node lateReader = CellStreamNodes.node(eventLoop, log, "n3", 1, CellStreamNodes.SETTINGS);
            ApplyResult lastResult =
                    eventLoop.call(() -> second.stream().commit(randomRecord(random, RECORD_COUNT), TIMEOUT_MILLIS));

            eventLoop.awaitUntil(() -> List.of(first, lateReader).stream()
                    .allMatch(n -> n.stream().appliedOffset() >= lastResult.offset()));
            eventLoop.run(() -> {
                assertThat(second.snapshot()).isEqualTo(first.snapshot());
                assertThat(lateReader.snapshot()).isEqualTo(first.snapshot());
            });
        }
    }

    private static CellRecord randomRecord(Random random, int index) {
        String key = "k" + random.nextInt(4);
        Author author = new Author("n", 1);
        return random.nextBoolean()
                ? new CellRecord.CallClaimed(key, "a" + index, author, "f")
                : new CellRecord.CallReleased(key, "a" + random.nextInt(RECORD_COUNT));
    }
}
