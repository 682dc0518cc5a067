package org.poplarwharf.internal.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.log.CellStreamNodes.Node;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;

class FoldingStreamTest {
    private static final String STREAM = CellStreamNodes.STREAM;
    private static final long TIMEOUT_MILLIS = 5_000;

    private final TestEventLoop eventLoop = new TestEventLoop();
    private final FakeEventLog log = new FakeEventLog(eventLoop.eventloop(), 1);

    @AfterEach
    void close() {
        eventLoop.close();
    }

    @Test
    void a_commit_completes_with_the_result_of_the_fold() {
        Node node = node("n1");

        assertThat(commit(node, claim("k", "a1")).accepted()).isTrue();
        ApplyResult secondResult = commit(node, claim("k", "a2"));
        assertThat(secondResult.accepted()).isFalse();
        assertThat(secondResult.reason()).contains("a1");
    }

    @Test
    void queued_records_are_appended_in_order_in_one_batch() {
        Node node = node("n1");

        List<ApplyResult> results = eventLoop.call(() -> Promises.toList(IntStream.range(0, 500)
                .mapToObj(i -> node.stream().commit(claim("k" + i, "a"), TIMEOUT_MILLIS))
                .toList()));

        assertThat(results).extracting(ApplyResult::offset).isSorted();
        assertThat(log.appendCallCount).isEqualTo(1);
    }

    @Test
    void a_commit_with_a_lost_response_completes_by_read_back_and_duplicates_are_dropped() {
        Node node = node("n1");
        Node reader = node("n2");
        eventLoop.run(() -> log.lostResponseProbability = 0.8);

        for (int i = 0; i < 30; i++) {
            assertThat(commit(node, claim("k" + i, "a")).accepted()).isTrue();
        }
        eventLoop.awaitUntil(() -> reader.state().callClaimCount() == 30);
        assertThat(eventLoop.get(reader::snapshot)).isEqualTo(eventLoop.get(node::snapshot));
    }

    @Test
    void a_record_that_was_not_sent_during_an_outage_fails_as_unavailable() {
        Node node = node("n1");
        eventLoop.run(() -> log.outage = true);

        PoplarWharfException failure = catchThrowableOfType(
                PoplarWharfException.class,
                () -> eventLoop.call(() -> node.stream().commit(claim("k", "a"), 60)));

        assertThat(failure.code()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
        eventLoop.run(() -> log.outage = false);
        commit(node, claim("later", "a"));
        assertThat(eventLoop.get(() -> node.state().callClaim("k"))).isEmpty();
    }

    @Test
    void many_commits_during_an_outage_cause_few_appends_and_all_succeed_afterwards() {
        Node node = node("n1");
        eventLoop.run(() -> log.outage = true);
        List<Promise<ApplyResult>> commits = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            String key = "k" + i;
            eventLoop.run(() -> commits.add(node.stream().commit(claim(key, "a"), TIMEOUT_MILLIS)));
        }
        int appendCallsDuringOutage = eventLoop.get(() -> log.appendCallCount);
        eventLoop.run(() -> log.outage = false);

        eventLoop.call(() -> Promises.all(commits));
        assertThat(appendCallsDuringOutage).isLessThan(100);
        assertThat(eventLoop.get(() -> log.size(STREAM))).isLessThan(5);
    }

    @Test
    void a_commit_without_a_response_fails_with_an_unknown_outcome() {
        Node node = node("n1");
        eventLoop.run(() -> {
            log.maxPageRecords = 0;
            log.lostResponseProbability = 1;
        });

        PoplarWharfException failure = catchThrowableOfType(
                PoplarWharfException.class,
                () -> eventLoop.call(() -> node.stream().commit(claim("k", "a"), 60)));

        assertThat(failure.code()).isEqualTo(FailureCode.LOG_OUTCOME_UNKNOWN);
    }

    @Test
    void a_reader_at_a_gap_waits_for_a_checkpoint_and_continues_from_it() {
        Node writer = node("n1");
        for (int i = 0; i < 10; i++) {
            commit(writer, claim("k" + i, "a"));
        }
        eventLoop.run(() -> log.trim(STREAM, 2));
        Node lateReader = node("n2");
        eventLoop.awaitUntil(() -> lateReader
                        .context()
                        .metrics()
                        .counter("log." + STREAM + ".gaps")
                        .getCount()
                == 1);
        assertThat(eventLoop.get(() -> lateReader.stream().isCaughtUp())).isFalse();
        assertThat(eventLoop.get(() -> lateReader.stream().appliedOffset())).isEqualTo(-1);

        commit(writer, claim("between", "a"));
        eventLoop.call(() -> writer.stream().commitCheckpoint(TIMEOUT_MILLIS));
        commit(writer, claim("after", "a"));

        eventLoop.awaitUntil(
                () -> lateReader.stream().isCaughtUp() && lateReader.state().callClaimCount() == 12);
        assertThat(eventLoop.get(lateReader::snapshot)).isEqualTo(eventLoop.get(writer::snapshot));
    }

    @Test
    void a_duplicate_of_a_record_before_a_checkpoint_is_dropped_by_a_reader_that_started_at_the_checkpoint() {
        Node writer = node("n1");
        RecordBatch batch = new RecordBatch("other", 1, 0, List.of(encode(claim("k", "a")), encode(release("k", "a"))));
        byte[] payload = new org.poplarwharf.internal.codec.MessagePackCodec<>(RecordBatch.class).encode(batch);
        eventLoop.run(() -> log.store(STREAM, payload));
        eventLoop.awaitUntil(() -> writer.stream().appliedOffset() == 1);
        eventLoop.call(() -> writer.stream().commitCheckpoint(TIMEOUT_MILLIS));
        eventLoop.run(() -> log.trim(STREAM, 1));
        Node lateReader = node("n2");
        eventLoop.awaitUntil(() -> lateReader.stream().isCaughtUp());

        eventLoop.run(() -> log.store(STREAM, payload));
        commit(writer, claim("end", "a"));
        eventLoop.awaitUntil(() -> lateReader.state().callClaim("end").isPresent());

        assertThat(eventLoop.get(lateReader::snapshot)).isEqualTo(eventLoop.get(writer::snapshot));
    }

    @Test
    void an_undecodable_entry_is_counted_and_skipped() {
        Node node = node("n1");
        eventLoop.run(() -> log.store(STREAM, new byte[] {1, 2, 3}));
        commit(node, claim("k", "a"));

        assertThat(node.context()
                        .metrics()
                        .counter("log." + STREAM + ".skipped")
                        .getCount())
                .isEqualTo(1);
        assertThat(eventLoop.get(() -> node.state().callClaimCount())).isEqualTo(1);
    }

    @Test
    void a_commit_of_an_earlier_incarnation_fails_after_a_later_one_has_written() {
        Node earlier = node("n1");
        commit(earlier, claim("k", "a"));
        Node later = CellStreamNodes.node(eventLoop, log, "n1", 2, CellStreamNodes.SETTINGS);
        commit(later, claim("k2", "a"));
        eventLoop.awaitUntil(() -> earlier.state().callClaimCount() == 2);

        PoplarWharfException failure =
                catchThrowableOfType(PoplarWharfException.class, () -> commit(earlier, claim("k3", "a")));

        assertThat(failure.code()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void a_checkpointer_keeps_the_stream_readable_from_the_retained_entries() {
        StreamSettings settings = CellStreamNodes.SETTINGS.withRetentionMillis(200);
        Node writer = CellStreamNodes.node(eventLoop, log, "n1", 1, settings);
        commit(writer, claim("k", "a"));
        eventLoop.run(() -> new Checkpointer<>(writer.context(), writer.stream(), writer.state()).activate());
        eventLoop.awaitUntil(() -> log.size(STREAM) >= 3);
        eventLoop.run(() -> log.trim(STREAM, 1));

        Node lateReader = node("n2");
        eventLoop.awaitUntil(() -> lateReader.stream().isCaughtUp());
        assertThat(eventLoop.get(() -> lateReader.state().callClaimCount())).isEqualTo(1);
    }

    private Node node(String writerId) {
        return CellStreamNodes.node(eventLoop, log, writerId, 1, CellStreamNodes.SETTINGS);
    }

    private ApplyResult commit(Node node, CellRecord record) {
        return eventLoop.call(() -> node.stream().commit(record, TIMEOUT_MILLIS));
    }

    private static byte[] encode(CellRecord record) {
        return new org.poplarwharf.internal.codec.MessagePackCodec<>(CellRecord.class).encode(record);
    }

    private static CellRecord claim(String key, String attempt) {
        return new CellRecord.CallClaimed(key, attempt, new Author("n1", 1), "f");
    }

    private static CellRecord release(String key, String attempt) {
        return new CellRecord.CallReleased(key, attempt);
    }
}
