package org.poplarwharf.internal.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DecisionLogTest {
    private static final long WRITE_DURATION_MILLIS = 50;

    @Test
    void flush_waits_for_a_line_that_is_being_written() throws InterruptedException {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        CountDownLatch writeStarted = new CountDownLatch(1);
        OutputStream slowStream = new OutputStream() {
            @Override
            public void write(int value) {
                written.write(value);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                writeStarted.countDown();
                sleepDuringWrite();
                written.write(bytes, offset, length);
            }
        };
        DecisionLog log = new DecisionLog("n1", "z1", new PrintStream(slowStream, true, StandardCharsets.UTF_8));
        log.log("node-stopped");
        assertThat(writeStarted.await(10, TimeUnit.SECONDS)).isTrue();

        log.flush();

        assertThat(written.toString(StandardCharsets.UTF_8)).contains("node-stopped");
    }

    private static void sleepDuringWrite() {
        try {
            Thread.sleep(WRITE_DURATION_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
