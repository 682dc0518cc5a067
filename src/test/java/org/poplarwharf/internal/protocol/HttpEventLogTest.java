package org.poplarwharf.internal.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.poplarwharf.support.Eventually.eventually;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.standin.LogFaults;
import org.poplarwharf.internal.standin.LogSettings;
import org.poplarwharf.internal.standin.LogStandin;
import org.poplarwharf.internal.standin.StandinAddresses;
import org.poplarwharf.plugins.EventLog;
import org.poplarwharf.support.ReactorThread;

class HttpEventLogTest {
    private static final byte[] PAYLOAD = {0, -1, 13, 10, 127, -128};

    private final ReactorThread thread = new ReactorThread();
    private LogStandin standin;
    private HttpEventLog log;

    @BeforeEach
    void start() {
        startWith(LogSettings.defaults());
    }

    @AfterEach
    void stop() {
        thread.run(standin::stop);
        thread.close();
    }

    private void startWith(LogSettings settings) {
        standin = thread.call(() -> LogStandin.start(thread.reactor(), StandinAddresses.loopback(), settings));
        log = thread.call(() -> new HttpEventLog(thread.reactor(), standin.address()));
    }

    private long append(byte... payload) {
        return thread.await(() -> log.append("s", payload));
    }

    private EventLog.Page read(long from, int max, long waitMillis) {
        return thread.await(() -> log.read("s", from, max, waitMillis));
    }

    private FailureCode failedAppendCode() {
        return catchThrowableOfType(PoplarWharfException.class, () -> append(PAYLOAD))
                .code();
    }

    @Test
    void appended_bytes_are_read_unchanged_with_their_offsets() {
        assertThat(append(PAYLOAD)).isZero();
        assertThat(append((byte) 1)).isEqualTo(1);

        EventLog.Page page = read(0, 10, 0);

        assertThat(page.nextOffset()).isEqualTo(2);
        assertThat(page.entries().getFirst().payload()).isEqualTo(PAYLOAD);
        assertThat(read(0, 1, 0).entries()).hasSize(1);
        assertThat(read(1, 10, 0).entries().getFirst().offset()).isEqualTo(1);
    }

    @Test
    void a_waiting_read_returns_a_later_append_or_an_empty_page_after_the_wait() {
        assertThat(read(0, 10, 30).entries()).isEmpty();

        EventLog.Page page = thread.await(() -> {
            var pendingRead = log.read("s", 0, 10, 9_000);
            return log.append("s", PAYLOAD).then(ignored -> pendingRead);
        });

        assertThat(page.entries()).hasSize(1);
    }

    @Test
    void retention_by_count_leaves_a_gap_before_the_first_offset() {
        thread.run(standin::stop);
        startWith(new LogSettings(1_000, 60_000, 2, 1));
        for (byte i = 0; i < 5; i++) {
            append(i);
        }

        EventLog.Page page = read(0, 10, 0);

        assertThat(page.firstOffset()).isEqualTo(3);
        assertThat(page.entries()).hasSize(2);
    }

    @Test
    void retention_by_time_empties_the_stream_and_preserves_its_offsets() {
        thread.run(standin::stop);
        startWith(new LogSettings(1_000, 50, 100, 1));
        append(PAYLOAD);

        eventually("the record has expired", () -> read(0, 10, 0).firstOffset() == 1);

        assertThat(read(0, 10, 0)).isEqualTo(new EventLog.Page(1, 1, List.of()));
        assertThat(append(PAYLOAD)).isEqualTo(1);
    }

    @Test
    void a_read_outage_does_not_affect_appends_and_an_append_outage_does_not_affect_reads() {
        thread.run(() -> standin.faults().set(new LogFaults(false, true, 0, 0, 0, false)));
        assertThat(append(PAYLOAD)).isZero();
        assertThat(catchThrowableOfType(PoplarWharfException.class, () -> read(0, 10, 0))
                        .code())
                .isEqualTo(FailureCode.LOG_UNAVAILABLE);

        thread.run(() -> standin.faults().set(new LogFaults(true, false, 0, 0, 0, false)));
        assertThat(read(0, 10, 0).entries()).hasSize(1);
        assertThat(failedAppendCode()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void an_append_during_an_outage_fails_as_not_appended() {
        thread.run(() -> standin.faults().set(LogFaults.outage()));

        assertThat(failedAppendCode()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
        assertThat(standin.journal().events()).isEmpty();
    }

    @Test
    void an_append_on_a_refused_connection_fails_as_not_appended() {
        thread.run(standin::stop);

        assertThat(failedAppendCode()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void a_response_lost_after_the_append_is_an_unknown_outcome_and_is_not_retried() {
        thread.run(() -> standin.faults().set(LogFaults.loseNextResponses(1, true)));

        assertThat(failedAppendCode()).isEqualTo(FailureCode.LOG_OUTCOME_UNKNOWN);
        assertThat(read(0, 10, 0).entries()).hasSize(1);
    }

    @Test
    void a_missing_response_is_an_unknown_outcome_within_the_timeout() {
        thread.run(() -> standin.faults().set(LogFaults.loseNextResponses(1, false)));

        assertThat(failedAppendCode()).isEqualTo(FailureCode.LOG_OUTCOME_UNKNOWN);
        assertThat(read(0, 10, 0).entries()).hasSize(1);
        assertThat(append(PAYLOAD)).isEqualTo(1);
    }

    @Test
    void appends_are_delayed_by_the_rate_limit() {
        thread.run(standin::stop);
        startWith(new LogSettings(50, 60_000, 100, 1));
        long start = System.nanoTime();
        for (byte i = 0; i < 6; i++) {
            append(i);
        }

        assertThat((System.nanoTime() - start) / 1_000_000).isGreaterThanOrEqualTo(95);
    }
}
