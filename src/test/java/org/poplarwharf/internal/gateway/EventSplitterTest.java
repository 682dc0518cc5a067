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
    void add_returns_only_whole_events() {
        assertThat(add("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(add("ta: b\n")).isEmpty();
        assertThat(add("\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(splitter.lastEventId()).hasValue(2);
        assertThat(splitter.eventCount()).isEqualTo(2);
    }

    @Test
    void a_stream_split_at_any_byte_yields_the_same_events() {
        String stream = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
        for (int splitAt = 1; splitAt < stream.length(); splitAt++) {
            EventSplitter freshSplitter = new EventSplitter(OptionalLong.empty());
            String first = text(freshSplitter, stream.substring(0, splitAt));
            assertThat(first + text(freshSplitter, stream.substring(splitAt))).isEqualTo(stream);
        }
    }

    @Test
    void an_event_id_that_repeats_makes_the_stream_invalid() {
        add("id: 1\n\nid: 2\n\n");

        assertThat(add("id: 2\n\n")).isEmpty();
        assertThat(splitter.isInvalid()).isTrue();
    }

    /** An event that counts without having been returned is missing for the caller once another target continues. */
    @Test
    void events_before_an_invalid_one_are_returned_however_the_stream_is_split() {
        String stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        for (int splitAt = 1; splitAt <= stream.length(); splitAt++) {
            EventSplitter freshSplitter = new EventSplitter(OptionalLong.empty());
            String first = text(freshSplitter, stream.substring(0, splitAt));
            String returned = first + text(freshSplitter, stream.substring(splitAt));

            assertThat(returned).as("split at %d", splitAt).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            assertThat(freshSplitter.isInvalid()).isTrue();
            assertThat(freshSplitter.lastEventId()).hasValue(2);
            assertThat(freshSplitter.eventCount()).isEqualTo(2);
            freshSplitter.discardRemainder();
            assertThat(text(freshSplitter, "id: 3\ndata: c\n\n")).isEqualTo("id: 3\ndata: c\n\n");
            assertThat(freshSplitter.isInvalid()).isFalse();
        }
    }

    /** A gap before an event that comes later can't be told from ids that are not contiguous, but its late arrival can. */
    @Test
    void an_event_that_arrives_after_a_later_one_is_told_from_a_repeated_one() {
        assertThat(isOutOfOrder(OptionalLong.empty(), 1, 2, 3, 2)).isFalse();
        assertThat(isOutOfOrder(OptionalLong.empty(), 1, 2, 4, 3)).isTrue();
        assertThat(isOutOfOrder(OptionalLong.empty(), 2, 1)).isTrue();
        assertThat(isOutOfOrder(OptionalLong.empty(), 10, 20, 20)).isFalse();
        assertThat(isOutOfOrder(OptionalLong.of(5), 6, 7, 5)).isFalse();
        assertThat(isOutOfOrder(OptionalLong.of(5), 7, 6)).isTrue();
    }

    private static boolean isOutOfOrder(OptionalLong lastEventId, int... ids) {
        EventSplitter events = new EventSplitter(lastEventId);
        for (int id : ids) {
            text(events, "id: " + id + "\ndata: x\n\n");
        }
        assertThat(events.isInvalid()).isTrue();
        return events.isOutOfOrder();
    }

    @Test
    void a_resumed_stream_accepts_only_events_after_the_last_event_of_its_caller() {
        EventSplitter resumed = new EventSplitter(OptionalLong.of(5));

        assertThat(text(resumed, "id: 5\n\n")).isEmpty();
        assertThat(resumed.isInvalid()).isTrue();
        resumed.discardRemainder();
        assertThat(text(resumed, "id: 6\n\n")).isNotEmpty();
    }

    @Test
    void a_partial_event_is_discarded_before_another_target_continues() {
        add("id: 1\n\nid: 2\ndat");
        splitter.discardRemainder();

        assertThat(add("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    }

    @Test
    void bytes_after_the_last_event_are_kept() {
        add("id: 1\n\n: end");

        assertThat(splitter.takeRemainder().toString(StandardCharsets.UTF_8)).isEqualTo(": end");
    }

    @Test
    void a_stream_ends_inside_an_event_unless_only_blank_lines_and_whole_comments_follow_the_last_one() {
        add("id: 1\ndata: a\n\n");
        assertThat(splitter.endsInsideEvent()).isFalse();
        add("\r\n: still here\n");
        assertThat(splitter.endsInsideEvent()).isFalse();
        add("i");
        assertThat(splitter.endsInsideEvent()).isTrue();
        add("d: 2\ndata: b\n");
        assertThat(splitter.endsInsideEvent()).isTrue();
        add("\n");
        assertThat(splitter.endsInsideEvent()).isFalse();
    }

    private String add(String text) {
        return text(splitter, text);
    }

    private static String text(EventSplitter splitter, String text) {
        ByteBuf wholeEvents = splitter.add(bytes(text));
        String returned = wholeEvents.toString(StandardCharsets.UTF_8);
        wholeEvents.release();
        return returned;
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }
}
