package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Streams that are slow but make progress, and streams that send bytes but make none. */
@Timeout(30)
class StreamProgressGatewayTest {
    private static final long SLOW_EVENT_MILLIS = 900;
    private static final long IDLE_BYTE_MILLIS = 300;

    /** A stalled stream continues at another target well before the route's timeout of 5 s. */
    private static final long PROMPT_MILLIS = 4_000;

    private final AtomicInteger startCount = new AtomicInteger();
    private GatewayCluster cluster;
    private GatewayCluster.Node node;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        node = cluster.startNode();
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    /** Adds two targets: the first run stalls after its first event, a resumed one is whole. */
    private void addStallingTargets(ScriptedTarget.Script stall) throws IOException {
        for (int i = 0; i < 2; i++) {
            cluster.addTarget("desk", "").script = (request, out) -> {
                ScriptedTarget.writeStreamHead(out, request);
                if (startCount.incrementAndGet() == 1) {
                    ScriptedTarget.writeEvent(out, 1);
                    stall.respond(request, out);
                    return;
                }
                for (int number = request.headers().containsKey("last-event-id") ? 2 : 1; number <= 3; number++) {
                    ScriptedTarget.writeEvent(out, number);
                }
                ScriptedTarget.write(out, "0\r\n\r\n");
            };
        }
    }

    private static void writeRepeatedly(OutputStream out, String chunk) throws IOException, InterruptedException {
        while (true) {
            ScriptedTarget.write(out, Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n");
            Thread.sleep(IDLE_BYTE_MILLIS);
        }
    }

    private void assertContinuesPromptly() throws Exception {
        long startMillis = System.currentTimeMillis();

        assertThat(cluster.post(node.frontPort(), "/resume/x").body())
                .contains("id: 1\n")
                .contains("id: 2\n")
                .endsWith("id: 3\ndata: x\n\n");
        assertThat(System.currentTimeMillis() - startMillis).isLessThan(PROMPT_MILLIS);
    }

    @Test
    void slow_stream_that_makes_progress_is_not_cut() throws Exception {
        cluster.addTarget("desk", "").script = (request, out) -> {
            ScriptedTarget.writeStreamHead(out, request);
            for (int number = 1; number <= 4; number++) {
                ScriptedTarget.writeEvent(out, number);
                Thread.sleep(SLOW_EVENT_MILLIS);
            }
            ScriptedTarget.write(out, "0\r\n\r\n");
        };
        assertThat(cluster.post(node.frontPort(), "/stream/x").body()).endsWith("id: 4\ndata: x\n\n");
        assertThat(cluster.post(node.frontPort(), "/resume/x").body()).endsWith("id: 4\ndata: x\n\n");
    }

    @Test
    void stream_that_sends_only_a_byte_now_and_then_continues_at_another_target() throws Exception {
        addStallingTargets((request, out) -> writeRepeatedly(out, "x"));

        assertContinuesPromptly();
    }

    @Test
    void stream_that_sends_only_comments_continues_at_another_target() throws Exception {
        addStallingTargets((request, out) -> writeRepeatedly(out, ": still here\n\n"));

        assertContinuesPromptly();
    }
}
