package org.poplarwharf.internal.holder;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.poplarwharf.internal.crash.Suspect;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.stream.StreamContinuation;
import org.poplarwharf.internal.stream.StreamOrigin;

/**
 * A message between a node and the lease holder. Times are durations relative to the message, since the nodes' clocks
 * differ. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
    @JsonSubTypes.Type(value = HolderMessage.Heartbeat.class, name = "b"),
    @JsonSubTypes.Type(value = HolderMessage.Submit.class, name = "a"),
    @JsonSubTypes.Type(value = HolderMessage.Withdraw.class, name = "w"),
    @JsonSubTypes.Type(value = HolderMessage.Outcome.class, name = "o"),
    @JsonSubTypes.Type(value = HolderMessage.Ended.class, name = "e"),
    @JsonSubTypes.Type(value = HolderMessage.Granted.class, name = "g"),
    @JsonSubTypes.Type(value = HolderMessage.Refused.class, name = "r"),
    @JsonSubTypes.Type(value = HolderMessage.TargetCrashes.class, name = "c"),
    @JsonSubTypes.Type(value = AccountMessage.QuotaRequest.class, name = "ar"),
    @JsonSubTypes.Type(value = AccountMessage.QuotaGrant.class, name = "ag"),
    @JsonSubTypes.Type(value = AccountMessage.QuotaReturn.class, name = "au"),
    @JsonSubTypes.Type(value = AccountMessage.PlanHeld.class, name = "ph"),
    @JsonSubTypes.Type(value = AccountMessage.KeysHeld.class, name = "kh"),
})
public sealed interface HolderMessage
        permits HolderMessage.Heartbeat,
                HolderMessage.Submit,
                HolderMessage.Withdraw,
                HolderMessage.Outcome,
                HolderMessage.Ended,
                HolderMessage.Granted,
                HolderMessage.Refused,
                HolderMessage.TargetCrashes,
                AccountMessage {
    /**
     * States that the sender is up. In a message of the holder, {@code holding} states whether it holds the lease and
     * {@code nodes} is the number of nodes, the holder included. {@code targetLimits} has the limits of all targets, in
     * requests per second, in some messages. {@code soughtStreamId} names a stream whose origin the holder doesn't know;
     * a node that knows it reports it. {@code origin} is that of a stream which the holder itself forwards, so that another
     * node knows it too. {@code targetSpeeds} has the learned speeds of all targets. {@code peers} are some nodes
     * that reach targets. {@code position} is that of the receiver among the ids of all nodes in order, from zero. Messages
     * of earlier releases have none of these.
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Heartbeat(
            String node,
            String incarnation,
            boolean holding,
            int nodes,
            Optional<Map<String, Double>> targetLimits,
            Optional<String> soughtStreamId,
            Optional<StreamOrigin> origin,
            Optional<List<TargetSpeeds.Summary>> targetSpeeds,
            Optional<List<PeerState>> peers,
            Optional<Integer> position)
            implements HolderMessage {
        public Heartbeat {
            targetLimits = orEmpty(targetLimits);
            soughtStreamId = orEmpty(soughtStreamId);
            origin = orEmpty(origin);
            targetSpeeds = orEmpty(targetSpeeds);
            peers = orEmpty(peers);
            position = orEmpty(position);
        }
    }

    /** Asks the holder for a target for a request. Earlier releases state neither an account nor a gap between events. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Submit(
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
            List<String> excluded,
            Optional<StreamContinuation> continuation,
            Optional<String> account,
            Optional<Long> maxEventGapMillis)
            implements HolderMessage {
        public Submit {
            continuation = orEmpty(continuation);
            account = orEmpty(account);
            maxEventGapMillis = orEmpty(maxEventGapMillis);
        }
    }

    /** Cancels a submitted request that no longer needs a target. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Withdraw(String key) implements HolderMessage {}

    /**
     * Reports the outcome of a granted run, and the origin of its stream with the first event. With an empty key it reports
     * only a limit, an origin, a target that leaves or the state of the sender; nodes of earlier releases, which know none, ignore such a message.
     * They take one with {@code latePauseMillis} for a slow first event.
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Outcome(
            String key,
            OutcomeKind kind,
            long firstEventMillis,
            Optional<NamedLimit> namedLimit,
            Optional<StreamOrigin> origin,
            Optional<LeavingTarget> leavingTarget,
            Optional<Long> latePauseMillis,
            Optional<PeerState> peer)
            implements HolderMessage {
        public Outcome {
            namedLimit = orEmpty(namedLimit);
            origin = orEmpty(origin);
            leavingTarget = orEmpty(leavingTarget);
            latePauseMillis = orEmpty(latePauseMillis);
            peer = orEmpty(peer);
        }
    }

    /** A node, the address at which it takes requests of nodes that reach no target, and whether it reaches any itself. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record PeerState(String nodeId, String address, boolean reachesTargets) {}

    /** The requests per second that a target takes from all nodes together, as it has named them in a response. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record NamedLimit(String targetId, double requestsPerSecond) {}

    /** An incarnation of a target that has stated in a response that it leaves. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record LeavingTarget(String targetId, long startedAtMillis) {}

    /**
     * Reports that a granted run has ended normally, and whether its response was a success; earlier releases don't state
     * that.
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Ended(String key, Optional<Boolean> successful) implements HolderMessage {
        public Ended {
            successful = orEmpty(successful);
        }
    }

    /**
     * Grants a target to a request; {@code backupId} is empty if no second target keeps a copy of the run's state.
     * {@code softwareVersion} is the version that began the stream that the request continues; earlier releases don't state
     * it, and may grant any target.
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Granted(String key, String targetId, String backupId, Optional<String> softwareVersion)
            implements HolderMessage {
        public Granted {
            softwareVersion = orEmpty(softwareVersion);
        }
    }

    /** Refuses a request, since no target can be granted to it in time. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Refused(String key, String reason, long retryAfterMillis) implements HolderMessage {}

    /**
     * Reports requests, and parts of their prompts, that were in flight at targets that crashed; sent in both directions.
     * From the holder, the parts are refused, and {@code clearedParts} has the ids of those that no longer are. Earlier
     * releases know only requests.
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record TargetCrashes(
            List<TargetCrash> requestCrashes,
            Optional<List<TargetCrash>> promptPartCrashes,
            Optional<List<String>> clearedParts)
            implements HolderMessage {
        /** Keeps messages well below the maximum size of a frame. */
        private static final int MAX_CRASH_COUNT = 500;

        public TargetCrashes {
            promptPartCrashes = orEmpty(promptPartCrashes);
            clearedParts = orEmpty(clearedParts);
        }

        /** Returns messages of bounded size. */
        static List<TargetCrashes> of(List<TargetCrash> crashes) {
            List<TargetCrashes> messages = new ArrayList<>();
            for (int from = 0; from < crashes.size(); from += MAX_CRASH_COUNT) {
                messages.add(message(crashes.subList(from, Math.min(crashes.size(), from + MAX_CRASH_COUNT))));
            }
            return messages;
        }

        private static TargetCrashes message(List<TargetCrash> crashes) {
            Map<Boolean, List<TargetCrash>> ofParts = crashes.stream()
                    .collect(Collectors.partitioningBy(crash -> crash.suspect() instanceof Suspect.PromptPart));
            return new TargetCrashes(ofParts.get(false), Optional.of(ofParts.get(true)), Optional.empty());
        }

        static TargetCrashes cleared(Suspect.PromptPart part) {
            return new TargetCrashes(List.of(), Optional.empty(), Optional.of(List.of(part.id())));
        }

        List<TargetCrash> crashes() {
            return Stream.concat(requestCrashes.stream(), promptPartCrashes.orElse(List.of()).stream())
                    .toList();
        }
    }

    /** Returns the optional, or an empty one if the message of an earlier release lacks the field. */
    private static <T> Optional<T> orEmpty(Optional<T> field) {
        return field == null ? Optional.empty() : field;
    }

    /** The kinds of run outcomes. */
    enum OutcomeKind {
        ANSWERED,
        DECLINED,
        BROKEN,
        ABANDONED
    }

    /** Returns the prompt parts of a submitted request. */
    static List<RequestTraits.PromptPart> promptParts(Submit submit) {
        List<RequestTraits.PromptPart> parts = new ArrayList<>();
        for (int i = 0;
                i < Math.min(submit.partIds().size(), submit.partTokens().size());
                i++) {
            parts.add(new RequestTraits.PromptPart(
                    submit.partIds().get(i), submit.partTokens().get(i)));
        }
        return parts;
    }

    /** Returns the message that asks the holder for a target for a request. */
    static Submit submitMessage(DispatchRequest request, long nowMillis) {
        RequestTraits traits = request.traits();
        return new Submit(
                request.key(),
                request.zone(),
                request.service(),
                traits.model().orElse(""),
                traits.adapter().orElse(""),
                traits.promptTokens(),
                traits.maxOutputTokens(),
                traits.promptParts().stream().map(RequestTraits.PromptPart::id).toList(),
                traits.promptParts().stream()
                        .map(RequestTraits.PromptPart::tokens)
                        .toList(),
                request.priority(),
                request.deadlineMillis() - nowMillis,
                request.objectiveMillis() - nowMillis,
                request.wantsBackup(),
                List.copyOf(request.excluded()),
                request.continuation(),
                request.account(),
                Optional.of(request.maxEventGapMillis()));
    }

    /** Returns the request that a node has submitted. */
    static DispatchRequest dispatchRequest(Submit submit, long nowMillis) {
        RequestTraits traits = new RequestTraits(
                "",
                OptionalLong.empty(),
                Optional.of(submit.model()).filter(model -> !model.isEmpty()),
                Optional.of(submit.adapter()).filter(adapter -> !adapter.isEmpty()),
                submit.promptTokens(),
                submit.maxOutputTokens(),
                promptParts(submit),
                OptionalLong.empty(),
                Optional.empty());
        return new DispatchRequest(
                submit.key(),
                submit.zone(),
                submit.service(),
                traits,
                submit.priority(),
                nowMillis + submit.millisLeft(),
                nowMillis + submit.objectiveMillisLeft(),
                submit.wantsBackup(),
                Set.copyOf(submit.excluded()),
                submit.continuation(),
                submit.account(),
                submit.maxEventGapMillis().orElse(0L));
    }

    /** Returns the message that reports the outcome of a run to the holder. */
    static HolderMessage outcomeMessage(String key, RunOutcome outcome) {
        return switch (outcome) {
            case RunOutcome.FirstEventReceived answered ->
                new Outcome(
                        key,
                        OutcomeKind.ANSWERED,
                        answered.firstEventMillis(),
                        Optional.empty(),
                        answered.origin(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty());
            case RunOutcome.LatePause late ->
                new Outcome(
                        key,
                        OutcomeKind.ANSWERED,
                        late.pauseMillis(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.of(late.pauseMillis()),
                        Optional.empty());
            case RunOutcome.Declined declined -> endMessage(key, OutcomeKind.DECLINED);
            case RunOutcome.ConnectionFailed broken -> endMessage(key, OutcomeKind.BROKEN);
            case RunOutcome.Abandoned abandoned -> endMessage(key, OutcomeKind.ABANDONED);
        };
    }

    /** Returns the message that reports a limit that a target has named. */
    static HolderMessage limitMessage(String targetId, double requestsPerSecond) {
        NamedLimit limit = new NamedLimit(targetId, requestsPerSecond);
        return statement(Optional.of(limit), Optional.empty(), Optional.empty(), Optional.empty());
    }

    /** Returns the message that reports that a target leaves. */
    static HolderMessage leavingMessage(Target target) {
        LeavingTarget leaving = new LeavingTarget(target.id(), target.startedAtMillis());
        return statement(Optional.empty(), Optional.empty(), Optional.of(leaving), Optional.empty());
    }

    /** Returns the message that reports the origin of a stream. */
    static HolderMessage originMessage(StreamOrigin origin) {
        return statement(Optional.empty(), Optional.of(origin), Optional.empty(), Optional.empty());
    }

    /** Returns the message that reports the state of the sender. */
    static HolderMessage peerMessage(PeerState peer) {
        return statement(Optional.empty(), Optional.empty(), Optional.empty(), Optional.of(peer));
    }

    private static HolderMessage statement(
            Optional<NamedLimit> limit,
            Optional<StreamOrigin> origin,
            Optional<LeavingTarget> leaving,
            Optional<PeerState> peer) {
        return new Outcome("", OutcomeKind.ANSWERED, 0, limit, origin, leaving, Optional.empty(), peer);
    }

    private static HolderMessage endMessage(String key, OutcomeKind kind) {
        return new Outcome(
                key, kind, 0, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    }

    /** Returns the outcome of a run that a node has reported. */
    static RunOutcome runOutcome(Outcome message) {
        return switch (message.kind()) {
            case ANSWERED -> answeredOutcome(message);
            case DECLINED -> new RunOutcome.Declined();
            case BROKEN -> new RunOutcome.ConnectionFailed();
            case ABANDONED -> new RunOutcome.Abandoned();
        };
    }

    private static RunOutcome answeredOutcome(Outcome message) {
        return message.latePauseMillis().isPresent()
                ? new RunOutcome.LatePause(message.latePauseMillis().get())
                : new RunOutcome.FirstEventReceived(message.firstEventMillis(), message.origin());
    }
}
