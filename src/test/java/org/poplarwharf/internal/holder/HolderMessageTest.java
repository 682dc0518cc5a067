package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.crash.Suspect;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.dispatch.TargetSpeeds;

/** Exchanges messages with nodes of the release before limits were added, which run beside others during an update. */
class HolderMessageTest {
    private static final Optional<List<TargetSpeeds.Summary>> SPEEDS =
            Optional.of(List.of(new TargetSpeeds.Summary("t", 5, "v1", 0.6, 0.1, 31)));
    private static final MessagePackCodec<HolderMessage> CODEC = new MessagePackCodec<>(HolderMessage.class);
    private static final MessagePackCodec<EarlierMessage> EARLIER_CODEC = new MessagePackCodec<>(EarlierMessage.class);

    private static final TargetCrash REQUEST_CRASH = new TargetCrash("f", "t", 1, "n1", 0);
    private static final TargetCrash PART_CRASH =
            new TargetCrash(new Suspect.PromptPart("s", "p").id(), "t", 1, "n1", 0);

    private static final Optional<List<HolderMessage.PeerState>> PEERS =
            Optional.of(List.of(new HolderMessage.PeerState("n2", "127.0.0.1:7381", true)));

    /** The messages of the earlier release that have changed. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    @JsonSubTypes({
        @JsonSubTypes.Type(value = EarlierMessage.Heartbeat.class, name = "b"),
        @JsonSubTypes.Type(value = EarlierMessage.Outcome.class, name = "o"),
        @JsonSubTypes.Type(value = EarlierMessage.Ended.class, name = "e"),
        @JsonSubTypes.Type(value = EarlierMessage.TargetCrashes.class, name = "c"),
    })
    sealed interface EarlierMessage {
        @JsonFormat(shape = JsonFormat.Shape.ARRAY)
        record Heartbeat(String node, String incarnation, boolean holding, int nodes) implements EarlierMessage {}

        @JsonFormat(shape = JsonFormat.Shape.ARRAY)
        record Outcome(String key, HolderMessage.OutcomeKind kind, long firstEventMillis) implements EarlierMessage {}

        @JsonFormat(shape = JsonFormat.Shape.ARRAY)
        record Ended(String key) implements EarlierMessage {}

        @JsonFormat(shape = JsonFormat.Shape.ARRAY)
        record TargetCrashes(List<TargetCrash> crashes) implements EarlierMessage {}
    }

    @Test
    void messages_of_the_earlier_release_are_read_without_limits() {
        assertThat(CODEC.decode(EARLIER_CODEC.encode(new EarlierMessage.Heartbeat("n", "i", true, 3)), "a node"))
                .isEqualTo(new HolderMessage.Heartbeat(
                        "n",
                        "i",
                        true,
                        3,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()));
        assertThat(CODEC.decode(
                        EARLIER_CODEC.encode(new EarlierMessage.Outcome("k", HolderMessage.OutcomeKind.ANSWERED, 7)),
                        "a node"))
                .isEqualTo(new HolderMessage.Outcome(
                        "k",
                        HolderMessage.OutcomeKind.ANSWERED,
                        7,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()));
    }

    @Test
    void nodes_of_the_earlier_release_read_messages_with_limits() {
        HolderMessage heartbeat = new HolderMessage.Heartbeat(
                "n",
                "i",
                true,
                3,
                Optional.of(Map.of("t", 1.1)),
                Optional.of("s"),
                Optional.empty(),
                SPEEDS,
                PEERS,
                Optional.of(2));
        assertThat(EARLIER_CODEC.decode(CODEC.encode(heartbeat), "a node"))
                .isEqualTo(new EarlierMessage.Heartbeat("n", "i", true, 3));
        assertThat(EARLIER_CODEC.decode(CODEC.encode(HolderMessage.limitMessage("t", 1.1)), "a node"))
                .isEqualTo(new EarlierMessage.Outcome("", HolderMessage.OutcomeKind.ANSWERED, 0));
    }

    @Test
    void limits_survive_encoding() {
        HolderMessage heartbeat = new HolderMessage.Heartbeat(
                "n",
                "i",
                true,
                3,
                Optional.of(Map.of("t", 1.1)),
                Optional.of("s"),
                Optional.empty(),
                SPEEDS,
                PEERS,
                Optional.of(2));
        HolderMessage limit = HolderMessage.limitMessage("t", 0.5);

        assertThat(CODEC.decode(CODEC.encode(heartbeat), "a node")).isEqualTo(heartbeat);
        assertThat(CODEC.decode(CODEC.encode(limit), "a node")).isEqualTo(limit);
    }

    @Test
    void late_pause_survives_encoding() {
        RunOutcome late = new RunOutcome.LatePause(700);
        HolderMessage decoded = CODEC.decode(CODEC.encode(HolderMessage.outcomeMessage("k", late)), "a node");

        assertThat(HolderMessage.runOutcome((HolderMessage.Outcome) decoded)).isEqualTo(late);
    }

    @Test
    void nodes_of_the_earlier_release_read_crashes_without_prompt_parts() {
        HolderMessage.TargetCrashes message = HolderMessage.TargetCrashes.of(List.of(REQUEST_CRASH, PART_CRASH))
                .get(0);

        assertThat(EARLIER_CODEC.decode(CODEC.encode(message), "a node"))
                .isEqualTo(new EarlierMessage.TargetCrashes(List.of(REQUEST_CRASH)));
        assertThat(EARLIER_CODEC.decode(CODEC.encode(new HolderMessage.Ended("k", Optional.of(true))), "a node"))
                .isEqualTo(new EarlierMessage.Ended("k"));
        assertThat(CODEC.decode(CODEC.encode(message), "a node")).isEqualTo(message);
    }

    @Test
    void crashes_and_ends_of_the_earlier_release_are_read() {
        HolderMessage crashes =
                CODEC.decode(EARLIER_CODEC.encode(new EarlierMessage.TargetCrashes(List.of(REQUEST_CRASH))), "a node");

        assertThat(((HolderMessage.TargetCrashes) crashes).crashes()).containsExactly(REQUEST_CRASH);
        assertThat(CODEC.decode(EARLIER_CODEC.encode(new EarlierMessage.Ended("k")), "a node"))
                .isEqualTo(new HolderMessage.Ended("k", Optional.empty()));
    }

    @Test
    void crashes_are_split_into_messages_of_bounded_size() {
        List<HolderMessage.TargetCrashes> messages =
                HolderMessage.TargetCrashes.of(Collections.nCopies(1_200, PART_CRASH));

        assertThat(messages).hasSize(3);
        assertThat(messages.stream()
                        .mapToInt(message -> message.crashes().size())
                        .sum())
                .isEqualTo(1_200);
    }
}
