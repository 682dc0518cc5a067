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

    private FailureCode appendFailure() {
        return catchThrowableOfType(PoplarWharfException.class, () -> append(PAYLOAD))
                .code();
    }

    @Test
    void appended_bytes_come_back_unchanged_with_their_offsets() {
        assertThat(append(PAYLOAD)).isZero();
        assertThat(append((byte) 1)).isEqualTo(1);

        EventLog.Page page = read(0, 10, 0);

        assertThat(page.nextOffset()).isEqualTo(2);
        assertThat(page.entries().getFirst().payload()).isEqualTo(PAYLOAD);
        assertThat(read(0, 1, 0).entries()).hasSize(1);
        assertThat(read(1, 10, 0).entries().getFirst().offset()).isEqualTo(1);
    }

    @Test
    void a_waiting_read_gets_what_is_appended_later_and_an_empty_page_in_time() {
        assertThat(read(0, 10, 30).entries()).isEmpty();

        EventLog.Page page = thread.await(() -> {
            var waiting = log.read("s", 0, 10, 9_000);
            return log.append("s", PAYLOAD).then(ignored -> waiting);
        });

        assertThat(page.entries()).hasSize(1);
    }

    @Test
    void retention_by_count_shows_as_a_gap() {
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
    void retention_by_time_empties_the_stream_and_keeps_its_offsets() {
        thread.run(standin::stop);
        startWith(new LogSettings(1_000, 50, 100, 1));
        append(PAYLOAD);

        eventually("the record has aged out", () -> read(0, 10, 0).firstOffset() == 1);

        assertThat(read(0, 10, 0)).isEqualTo(new EventLog.Page(1, 1, List.of()));
        assertThat(append(PAYLOAD)).isEqualTo(1);
    }

    @Test
    void a_read_outage_leaves_appends_working_and_an_append_outage_leaves_reads() {
        thread.run(() -> standin.faults().set(new LogFaults(false, true, 0, 0, 0, false)));
        assertThat(append(PAYLOAD)).isZero();
        assertThat(catchThrowableOfType(PoplarWharfException.class, () -> read(0, 10, 0))
                        .code())
                .isEqualTo(FailureCode.LOG_UNAVAILABLE);

        thread.run(() -> standin.faults().set(new LogFaults(true, false, 0, 0, 0, false)));
        assertThat(read(0, 10, 0).entries()).hasSize(1);
        assertThat(appendFailure()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void an_outage_is_surely_not_appended() {
        thread.run(() -> standin.faults().set(LogFaults.outage()));

        assertThat(appendFailure()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
        assertThat(standin.journal().events()).isEmpty();
    }

    @Test
    void a_refused_connection_is_surely_not_appended() {
        thread.run(standin::stop);

        assertThat(appendFailure()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void an_answer_cut_after_the_effect_is_an_unknown_outcome_and_is_not_sent_again() {
        thread.run(() -> standin.faults().set(LogFaults.loseNextResponses(1, true)));

        assertThat(appendFailure()).isEqualTo(FailureCode.LOG_OUTCOME_UNKNOWN);
        assertThat(read(0, 10, 0).entries()).hasSize(1);
    }

    @Test
    void an_answer_that_never_comes_is_an_unknown_outcome_in_bounded_time() {
        thread.run(() -> standin.faults().set(LogFaults.loseNextResponses(1, false)));

        assertThat(appendFailure()).isEqualTo(FailureCode.LOG_OUTCOME_UNKNOWN);
        assertThat(read(0, 10, 0).entries()).hasSize(1);
        assertThat(append(PAYLOAD)).isEqualTo(1);
    }

    @Test
    void appends_wait_for_the_rate() {
        thread.run(standin::stop);
        startWith(new LogSettings(50, 60_000, 100, 1));
        long start = System.nanoTime();
        for (byte i = 0; i < 6; i++) {
            append(i);
        }

        assertThat((System.nanoTime() - start) / 1_000_000).isGreaterThanOrEqualTo(95);
    }
}
