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
import org.poplarwharf.internal.log.CellStreams.Node;
import org.poplarwharf.internal.log.RecordStream.Applied;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;

class FoldingStreamTest {
    private static final String STREAM = CellStreams.STREAM;
    private static final long TIMEOUT_MILLIS = 5_000;

    private final TestLoop loop = new TestLoop();
    private final FakeEventLog log = new FakeEventLog(loop.eventloop(), 1);

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void a_commit_completes_with_the_folds_verdict() {
        Node node = node("n1");

        assertThat(commit(node, call("k", "a1")).accepted()).isTrue();
        Applied second = commit(node, call("k", "a2"));
        assertThat(second.accepted()).isFalse();
        assertThat(second.reason()).contains("a1");
    }

    @Test
    void records_that_wait_go_out_as_one_append_in_order() {
        Node node = node("n1");

        List<Applied> applied = loop.call(() -> Promises.toList(IntStream.range(0, 500)
                .mapToObj(i -> node.stream().commit(call("k" + i, "a"), TIMEOUT_MILLIS))
                .toList()));

        assertThat(applied).extracting(Applied::offset).isSorted();
        assertThat(log.appendCalls).isEqualTo(1);
    }

    @Test
    void a_lost_answer_is_settled_by_reading_on_and_a_repeat_is_dropped() {
        Node node = node("n1");
        Node reader = node("n2");
        loop.run(() -> log.lostAnswers = 0.8);

        for (int i = 0; i < 30; i++) {
            assertThat(commit(node, call("k" + i, "a")).accepted()).isTrue();
        }
        loop.until(() -> reader.state().callClaimCount() == 30);
        assertThat(loop.get(reader::bytes)).isEqualTo(loop.get(node::bytes));
    }

    @Test
    void a_record_that_was_never_sent_says_so_during_an_outage() {
        Node node = node("n1");
        loop.run(() -> log.outage = true);

        PoplarWharfException failure = catchThrowableOfType(
                PoplarWharfException.class, () -> loop.call(() -> node.stream().commit(call("k", "a"), 60)));

        assertThat(failure.code()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
        loop.run(() -> log.outage = false);
        commit(node, call("later", "a"));
        assertThat(loop.get(() -> node.state().callClaim("k"))).isEmpty();
    }

    @Test
    void many_commits_in_an_outage_cause_few_appends_and_all_go_out_afterwards() {
        Node node = node("n1");
        loop.run(() -> log.outage = true);
        List<Promise<Applied>> commits = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            String key = "k" + i;
            loop.run(() -> commits.add(node.stream().commit(call(key, "a"), TIMEOUT_MILLIS)));
        }
        int during = loop.get(() -> log.appendCalls);
        loop.run(() -> log.outage = false);

        loop.call(() -> Promises.all(commits));
        assertThat(during).isLessThan(100);
        assertThat(loop.get(() -> log.size(STREAM))).isLessThan(5);
    }

    @Test
    void an_answer_that_never_comes_leaves_the_outcome_unknown() {
        Node node = node("n1");
        loop.run(() -> {
            log.pageRecords = 0;
            log.lostAnswers = 1;
        });

        PoplarWharfException failure = catchThrowableOfType(
                PoplarWharfException.class, () -> loop.call(() -> node.stream().commit(call("k", "a"), 60)));

        assertThat(failure.code()).isEqualTo(FailureCode.LOG_OUTCOME_UNKNOWN);
    }

    @Test
    void a_reader_at_a_gap_waits_for_a_checkpoint_and_folds_on_from_it() {
        Node writer = node("n1");
        for (int i = 0; i < 10; i++) {
            commit(writer, call("k" + i, "a"));
        }
        loop.run(() -> log.trim(STREAM, 2));
        Node late = node("n2");
        loop.until(
                () -> late.parts().metrics().counter("log." + STREAM + ".gaps").getCount() == 1);
        assertThat(loop.get(() -> late.stream().caughtUp())).isFalse();
        assertThat(loop.get(() -> late.stream().appliedOffset())).isEqualTo(-1);

        commit(writer, call("between", "a"));
        loop.call(() -> writer.stream().commitCheckpoint(TIMEOUT_MILLIS));
        commit(writer, call("after", "a"));

        loop.until(() -> late.stream().caughtUp() && late.state().callClaimCount() == 12);
        assertThat(loop.get(late::bytes)).isEqualTo(loop.get(writer::bytes));
    }

    @Test
    void a_repeat_from_before_a_checkpoint_is_dropped_by_a_reader_that_began_there() {
        Node writer = node("n1");
        Batch batch = new Batch("other", 1, 0, List.of(encoded(call("k", "a")), encoded(release("k", "a"))));
        byte[] payload = new org.poplarwharf.internal.codec.MessagePackCodec<>(Batch.class).encode(batch);
        loop.run(() -> log.store(STREAM, payload));
        loop.until(() -> writer.stream().appliedOffset() == 1);
        loop.call(() -> writer.stream().commitCheckpoint(TIMEOUT_MILLIS));
        loop.run(() -> log.trim(STREAM, 1));
        Node late = node("n2");
        loop.until(() -> late.stream().caughtUp());

        loop.run(() -> log.store(STREAM, payload));
        commit(writer, call("end", "a"));
        loop.until(() -> late.state().callClaim("end").isPresent());

        assertThat(loop.get(late::bytes)).isEqualTo(loop.get(writer::bytes));
    }

    @Test
    void bytes_that_do_not_decode_are_counted_and_skipped() {
        Node node = node("n1");
        loop.run(() -> log.store(STREAM, new byte[] {1, 2, 3}));
        commit(node, call("k", "a"));

        assertThat(node.parts().metrics().counter("log." + STREAM + ".skipped").getCount())
                .isEqualTo(1);
        assertThat(loop.get(() -> node.state().callClaimCount())).isEqualTo(1);
    }

    @Test
    void an_earlier_incarnation_learns_that_a_later_one_writes() {
        Node old = node("n1");
        commit(old, call("k", "a"));
        Node later = CellStreams.node(loop, log, "n1", 2, CellStreams.SETTINGS);
        commit(later, call("k2", "a"));
        loop.until(() -> old.state().callClaimCount() == 2);

        PoplarWharfException failure =
                catchThrowableOfType(PoplarWharfException.class, () -> commit(old, call("k3", "a")));

        assertThat(failure.code()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void a_checkpointer_keeps_the_stream_readable_within_its_retention() {
        StreamSettings settings = CellStreams.SETTINGS.withRetentionMillis(200);
        Node writer = CellStreams.node(loop, log, "n1", 1, settings);
        commit(writer, call("k", "a"));
        loop.run(() -> new Checkpointer<>(writer.parts(), writer.stream(), writer.state()).activate());
        loop.until(() -> log.size(STREAM) >= 3);
        loop.run(() -> log.trim(STREAM, 1));

        Node late = node("n2");
        loop.until(() -> late.stream().caughtUp());
        assertThat(loop.get(() -> late.state().callClaimCount())).isEqualTo(1);
    }

    private Node node(String writerId) {
        return CellStreams.node(loop, log, writerId, 1, CellStreams.SETTINGS);
    }

    private Applied commit(Node node, CellRecord record) {
        return loop.call(() -> node.stream().commit(record, TIMEOUT_MILLIS));
    }

    private static byte[] encoded(CellRecord record) {
        return new org.poplarwharf.internal.codec.MessagePackCodec<>(CellRecord.class).encode(record);
    }

    private static CellRecord call(String key, String attempt) {
        return new CellRecord.CallClaimed(key, attempt, new Author("n1", 1), "f");
    }

    private static CellRecord release(String key, String attempt) {
        return new CellRecord.CallReleased(key, attempt);
    }
}
