package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.support.ScriptedTarget;

/**
 * Targets that send an event twice. What precedes the repetition has to reach the caller, since another target continues
 * after it; else a stream with a hole would look complete.
 */
@Timeout(30)
class RepeatedEventGatewayTest {
    private static final int EVENT_COUNT = 5;
    private static final String MODELS = ",'models':[{'name':'m1','version':1,'adapters':[]}],'atHand':{}";

    /** Longer than a node takes to read what has arrived. */
    private static final long READ_MILLIS = 60;

    private final Set<String> spoiled = ConcurrentHashMap.newKeySet();
    private final List<String> resumedAfter = new CopyOnWriteArrayList<>();
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

    private static String events(int first, int last) {
        StringBuilder events = new StringBuilder();
        for (int number = first; number <= last; number++) {
            events.append(ScriptedTarget.eventText(number));
        }
        return events.toString();
    }

    /** Streams all events; the first run of a request sends these numbers instead, so many of them in one write. */
    private ScriptedTarget.Script script(List<Integer> spoiledNumbers, int writeSize) {
        return (request, out) -> {
            ScriptedTarget.writeStreamHead(out, request);
            if (!spoiled.add(request.id())) {
                String after = request.headers().getOrDefault("last-event-id", "0");
                resumedAfter.add(after);
                ScriptedTarget.writeChunk(out, events(Integer.parseInt(after) + 1, EVENT_COUNT));
            } else {
                writeGroups(out, spoiledNumbers, writeSize);
            }
            ScriptedTarget.write(out, "0\r\n\r\n");
        };
    }

    private static void writeGroups(OutputStream out, List<Integer> numbers, int size)
            throws IOException, InterruptedException {
        for (int from = 0; from < numbers.size(); from += size) {
            StringBuilder text = new StringBuilder();
            numbers.subList(from, Math.min(numbers.size(), from + size))
                    .forEach(number -> text.append(ScriptedTarget.eventText(number)));
            ScriptedTarget.writeChunk(out, text.toString());
            Thread.sleep(READ_MILLIS);
        }
    }

    private static List<Integer> withRepeated(int event) {
        List<Integer> numbers = new ArrayList<>();
        for (int number = 1; number <= EVENT_COUNT; number++) {
            numbers.add(number);
            if (number == event) {
                numbers.add(number);
            }
        }
        return numbers;
    }

    private HttpResponse<String> post(String path) throws IOException, InterruptedException {
        return cluster.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.frontPort() + path))
                .header("X-Request-Id", "r" + System.nanoTime())
                .header("X-Model", "m1")
                .header("X-Token-Counts", "10,10")
                .POST(HttpRequest.BodyPublishers.ofString("prompt")));
    }

    /** Write sizes of 1, 2 and 6 put the repetition into a write of its own, behind one event, and behind all before it. */
    @ParameterizedTest
    @CsvSource({"1,1", "1,2", "1,6", "2,1", "2,3", "3,2", "3,6", "4,6", "5,1", "5,2", "5,6"})
    void resumable_stream_is_whole_after_a_repeated_event(int event, int writeSize) throws Exception {
        cluster.addTarget("desk", "").script = script(withRepeated(event), writeSize);
        cluster.addTarget("desk", "").script = script(withRepeated(event), writeSize);

        HttpResponse<String> response = post("/resume/x");

        assertThat(response.body()).as("%s", node.log()).isEqualTo(events(1, EVENT_COUNT));
        assertThat(resumedAfter).containsExactly(Integer.toString(event));
    }

    /** A stream that is not resumable goes on at the target with the backup copy of its run. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 6})
    void stream_continues_whole_at_the_backup_copy_after_a_repeated_event(int writeSize) throws Exception {
        cluster.addTarget("lm", MODELS).script = script(withRepeated(3), writeSize);
        cluster.addTarget("lm", MODELS).script = script(withRepeated(3), writeSize);
        cluster.platform.put(
                "op", "config", GatewayCluster.plan(2, "'limits':{}").replace("'slots':4", "'backups':true,'slots':4"));
        GatewayCluster.pause(1_000);

        HttpResponse<String> response = post("/lm/x");

        assertThat(response.body()).as("%s", node.log()).isEqualTo(events(1, EVENT_COUNT));
        assertThat(resumedAfter).containsExactly("3");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 6})
    void stream_that_no_target_can_continue_is_cut_after_the_events_before_the_repetition(int writeSize)
            throws Exception {
        cluster.addTarget("desk", "").script = script(withRepeated(3), writeSize);

        String received = readAll("/stream/x");

        assertThat(received).as("%s", node.log()).contains("id: 3\n").doesNotContain("id: 4\n");
        assertThat(received.split("id: 3\n")).hasSize(2);
        assertThat(received).doesNotEndWith("0\r\n\r\n");
    }

    /** A stream that continues after the later one of two swapped events would lack the earlier one. */
    @ParameterizedTest
    @CsvSource({"'2,1,3,4,5',1", "'2,1,3,4,5',6", "'1,2,4,3,5',1", "'1,2,4,3,5',2", "'1,2,4,3,5',6", "'1,3,2,4,5',3"})
    void stream_whose_events_are_out_of_order_does_not_look_complete(String numbers, int writeSize) throws Exception {
        List<Integer> spoiledNumbers =
                List.of(numbers.split(",")).stream().map(Integer::valueOf).toList();
        cluster.addTarget("desk", "").script = script(spoiledNumbers, writeSize);
        cluster.addTarget("desk", "").script = script(spoiledNumbers, writeSize);

        assertThatThrownBy(() -> post("/resume/x")).isInstanceOf(IOException.class);
        assertThat(resumedAfter).isEmpty();
    }

    /** The version of a stream is that of its first event, also if the write with that event is spoiled. */
    @Test
    void stream_whose_first_write_is_spoiled_does_not_continue_at_another_software_version() throws Exception {
        cluster.addTarget("desk", "", "a").script = script(withRepeated(1), 6);
        cluster.addTarget("desk", "", "b").script = script(withRepeated(1), 6);

        assertThatThrownBy(() -> post("/resume/x")).isInstanceOf(IOException.class);
        assertThat(resumedAfter).isEmpty();
    }

    /** Returns the response up to the end of the caller's connection, or up to its reset. */
    private String readAll(String path) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", node.frontPort())) {
            ScriptedTarget.write(
                    socket.getOutputStream(),
                    "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: raw" + System.nanoTime()
                            + "\r\nContent-Length: 0\r\n\r\n");
            socket.setSoTimeout(10_000);
            StringBuilder response = new StringBuilder();
            byte[] buffer = new byte[4_096];
            try {
                for (int count = socket.getInputStream().read(buffer);
                        count >= 0;
                        count = socket.getInputStream().read(buffer)) {
                    response.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                // A reset ends the response as well.
            }
            return response.toString();
        }
    }
}
