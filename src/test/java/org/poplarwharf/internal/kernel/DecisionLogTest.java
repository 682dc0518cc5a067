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
    private static final long WRITE_MILLIS = 50;

    @Test
    void a_flush_waits_for_a_line_that_is_being_written() throws InterruptedException {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        CountDownLatch writing = new CountDownLatch(1);
        OutputStream slow = new OutputStream() {
            @Override
            public void write(int value) {
                written.write(value);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                writing.countDown();
                pause();
                written.write(bytes, offset, length);
            }
        };
        DecisionLog log = new DecisionLog("n1", "z1", new PrintStream(slow, true, StandardCharsets.UTF_8));
        log.log("node-stopped");
        assertThat(writing.await(10, TimeUnit.SECONDS)).isTrue();

        log.flush();

        assertThat(written.toString(StandardCharsets.UTF_8)).contains("node-stopped");
    }

    private static void pause() {
        try {
            Thread.sleep(WRITE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
