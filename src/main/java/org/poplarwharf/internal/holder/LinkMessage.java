package org.poplarwharf.internal.holder;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.RequestTraits;

/**
 * What nodes and the holder tell each other. Times are relative, since clocks differ. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
    @JsonSubTypes.Type(value = LinkMessage.Beat.class, name = "b"),
    @JsonSubTypes.Type(value = LinkMessage.Ask.class, name = "a"),
    @JsonSubTypes.Type(value = LinkMessage.Withdraw.class, name = "w"),
    @JsonSubTypes.Type(value = LinkMessage.Outcome.class, name = "o"),
    @JsonSubTypes.Type(value = LinkMessage.Ended.class, name = "e"),
    @JsonSubTypes.Type(value = LinkMessage.Granted.class, name = "g"),
    @JsonSubTypes.Type(value = LinkMessage.Refused.class, name = "r"),
})
public sealed interface LinkMessage {
    /** The sender is up. From a holder, {@code holding} says that its lease holds and {@code nodes} how many follow. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Beat(String node, String incarnation, boolean holding, int nodes) implements LinkMessage {}

    /** A request wants a target. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Ask(
            String key,
            String zone,
            String service,
            String model,
            String adapter,
            long promptTokens,
            long maxOutputTokens,
            List<String> partIds,
            List<Long> partTokens,
            int priority,
            long millisLeft,
            long objectiveMillisLeft,
            boolean wantsBackup,
            List<String> excluded)
            implements LinkMessage {}

    /** A request that was asked for is no longer. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Withdraw(String key) implements LinkMessage {}

    /** How a granted run went. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Outcome(String key, Kind kind, long firstEventMillis) implements LinkMessage {}

    /** A granted run has ended in order. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Ended(String key) implements LinkMessage {}

    /** A request may go to a target; {@code backupId} is empty where no other target keeps a copy of its memory. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Granted(String key, String targetId, String backupId) implements LinkMessage {}

    /** A request has no place. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Refused(String key, String reason, long retryAfterMillis) implements LinkMessage {}

    /** The ends of a run. */
    enum Kind {
        ANSWERED,
        DECLINED,
        BROKEN,
        ABANDONED
    }

    /** Returns the parts of a prompt. */
    static List<RequestTraits.PromptPart> parts(Ask ask) {
        List<RequestTraits.PromptPart> parts = new ArrayList<>();
        for (int i = 0; i < Math.min(ask.partIds().size(), ask.partTokens().size()); i++) {
            parts.add(new RequestTraits.PromptPart(
                    ask.partIds().get(i), ask.partTokens().get(i)));
        }
        return parts;
    }

    /** Returns what tells a holder how a run went. */
    static LinkMessage outcome(String key, RunOutcome outcome) {
        return switch (outcome) {
            case RunOutcome.FirstEventReceived answered ->
                new LinkMessage.Outcome(key, LinkMessage.Kind.ANSWERED, answered.firstEventMillis());
            case RunOutcome.Declined declined -> new LinkMessage.Outcome(key, LinkMessage.Kind.DECLINED, 0);
            case RunOutcome.ConnectionFailed broken -> new LinkMessage.Outcome(key, LinkMessage.Kind.BROKEN, 0);
            case RunOutcome.Abandoned abandoned -> new LinkMessage.Outcome(key, LinkMessage.Kind.ABANDONED, 0);
        };
    }

    /** Returns how a run went, as a node told it. */
    static RunOutcome outcome(Outcome told) {
        return switch (told.kind()) {
            case ANSWERED -> new RunOutcome.FirstEventReceived(told.firstEventMillis());
            case DECLINED -> new RunOutcome.Declined();
            case BROKEN -> new RunOutcome.ConnectionFailed();
            case ABANDONED -> new RunOutcome.Abandoned();
        };
    }
}
