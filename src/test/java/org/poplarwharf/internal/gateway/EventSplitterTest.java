package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final EventSplitter splitter = new EventSplitter(OptionalLong.empty());

    @Test
    void gives_whole_events_only() {
        assertThat(add("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(add("ta: b\n")).isEmpty();
        assertThat(add("\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(splitter.lastId()).hasValue(2);
        assertThat(splitter.events()).isEqualTo(2);
    }

    @Test
    void a_stream_cut_at_any_byte_gives_the_same_events() {
        String stream = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
        for (int cut = 1; cut < stream.length(); cut++) {
            EventSplitter cutSplitter = new EventSplitter(OptionalLong.empty());
            String first = text(cutSplitter, stream.substring(0, cut));
            assertThat(first + text(cutSplitter, stream.substring(cut))).isEqualTo(stream);
        }
    }

    @Test
    void an_event_that_comes_twice_is_no_stream() {
        add("id: 1\n\nid: 2\n\n");

        assertThat(splitter.add(bytes("id: 2\n\n"))).isEmpty();
    }

    @Test
    void a_stream_goes_on_behind_the_event_that_its_caller_had() {
        EventSplitter resumed = new EventSplitter(OptionalLong.of(5));

        assertThat(resumed.add(bytes("id: 5\n\n"))).isEmpty();
        resumed.dropPart();
        assertThat(text(resumed, "id: 6\n\n")).isNotEmpty();
    }

    @Test
    void a_part_of_a_broken_event_is_dropped_before_another_target_goes_on() {
        add("id: 1\n\nid: 2\ndat");
        splitter.dropPart();

        assertThat(add("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    }

    @Test
    void what_follows_the_last_event_is_kept() {
        add("id: 1\n\n: end");

        assertThat(splitter.rest().toString(StandardCharsets.UTF_8)).isEqualTo(": end");
    }

    private String add(String text) {
        return text(splitter, text);
    }

    private static String text(EventSplitter splitter, String text) {
        return splitter.add(bytes(text)).orElseThrow().toString(StandardCharsets.UTF_8);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }
}
