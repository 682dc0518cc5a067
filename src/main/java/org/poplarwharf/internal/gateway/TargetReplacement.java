package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.Target;

/**
 * Looks for another target of a request whose target is silent, while the request goes on running there.
 *
 * <p>Invariants: the silent target is replaced only by one that has begun to respond or, for a stream, to which the
 * request was sent a short time before. There is at most one search or attempt at a time. A search that ends
 * without an attempt uses up none of the attempts that the request is allowed. Confined to the event loop.
 */
final class TargetReplacement implements TargetSelector.Callback, Attempt.Listener {
    /** A stream that continues at one target must not run on at another for longer. */
    private static final long MAX_OVERLAP_MILLIS = 200;

    private final RequestContext request;
    private final GatewayContext gateway;
    private final AttemptSender sender;
    private final AttemptLimits limits;
    private final ExchangeRecorder recorder;
    private final StreamContinuity continuity;
    private final ResponseRelay relay;
    private final Consumer<Attempt> onReplaced;
    private Optional<Attempt> silentAttempt = Optional.empty();
    private Optional<String> searchKey = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private Optional<Future<?>> overlapTimer = Optional.empty();

    /** Creates a replacement that passes on the attempt which takes the place of the one at the silent target. */
    TargetReplacement(
            RequestContext request,
            AttemptSender sender,
            AttemptLimits limits,
            ExchangeRecorder recorder,
            StreamContinuity continuity,
            ResponseRelay relay,
            Consumer<Attempt> onReplaced) {
        this.request = request;
        this.gateway = request.gateway();
        this.sender = sender;
        this.limits = limits;
        this.recorder = recorder;
        this.continuity = continuity;
        this.relay = relay;
        this.onReplaced = onReplaced;
    }

    /** Starts to look for another target, unless that is under way or the request may not run at one more. */
    void seek(Attempt silent) {
        boolean seeks = searchKey.isEmpty() && attempt.isEmpty() && limits.allowsRerunBeside(silent, relay);
        recorder.recordSilent(silent.target(), seeks);
        if (!seeks) {
            return;
        }
        sender.exclude(silent.target());
        silentAttempt = Optional.of(silent);
        String key = gateway.nextKey();
        searchKey = Optional.of(key);
        sender.search(key, this);
    }

    @Override
    public void onSelected(Target selected, Optional<Target> backup, String by) {
        String key = searchKey.orElseThrow();
        Attempt silent = silentAttempt.orElseThrow();
        searchKey = Optional.empty();
        boolean isUsable = continuity.allows(selected) && gateway.statements().accepts(selected);
        if (!isUsable || !limits.tryReserveRerunBeside(silent, relay)) {
            limits.recordNotAttempted();
            request.selector().reportOutcome(key, new RunOutcome.Abandoned());
            recorder.recordNotReplaced("target not usable or no retry left");
            return;
        }
        Attempt created = new Attempt(key, selected, backup, gateway.nowMillis(), this);
        created.setReplaced(Optional.of(silent.target()));
        attempt = Optional.of(created);
        sender.sendReplacement(created, relay.lastEventId(), by);
    }

    @Override
    public void onRejected(String reason, long retryAfterMillis) {
        searchKey = Optional.empty();
        limits.recordNotAttempted();
        recorder.recordNotReplaced(reason);
    }

    /** Returns whether the request can run at one more target, or was already sent there because this one was silent. */
    boolean tryReserveRerun() {
        return attempt.isPresent() || limits.tryReserveRerun(relay);
    }

    /** Ends the search or the attempt, because the silent target goes on or the exchange has ended. */
    void cancel() {
        cancelSearch();
        attempt.ifPresent(current -> {
            sender.abandon(current);
            drop(current, new RunOutcome.Abandoned());
        });
    }

    /** Ends the search or the attempt if the caller has a part of a response that no other target can continue. */
    void cancelIfNotAllowed() {
        if (!limits.isRerunAllowed(relay)) {
            cancel();
        }
    }

    private void cancelSearch() {
        searchKey.ifPresent(key -> {
            searchKey = Optional.empty();
            limits.recordNotAttempted();
            request.selector().cancel(key);
            request.selector().reportOutcome(key, new RunOutcome.Abandoned());
        });
    }

    /** Ends the search, and removes and returns the attempt, because the run at the silent target has failed. */
    Optional<Attempt> take() {
        cancelSearch();
        Optional<Attempt> taken = attempt;
        taken.ifPresent(other -> other.setReplaced(Optional.empty()));
        forget();
        return taken;
    }

    private void drop(Attempt dropped, RunOutcome outcome) {
        forget();
        dropped.cancel();
        sender.exclude(dropped.target());
        request.selector().reportOutcome(dropped.key(), outcome);
    }

    private void forget() {
        attempt = Optional.empty();
        overlapTimer.ifPresent(timer -> timer.cancel(false));
        overlapTimer = Optional.empty();
    }

    private void replace(Attempt replacement) {
        forget();
        onReplaced.accept(replacement);
    }

    @Override
    public void onSending(Attempt sent) {
        limits.recordPossibleRun();
        if (request.route().kind().isStream()) {
            overlapTimer = Optional.of(gateway.schedule(MAX_OVERLAP_MILLIS, () -> replace(sent)));
        }
    }

    @Override
    public void onHead(Attempt responding, HttpResponse head) {
        int status = head.status().code();
        ResponseTraits response = gateway.headerCodec().readResponse(status, head.headers());
        boolean isOwn =
                response.requestId().map(request.traits().requestId()::equals).orElse(true);
        boolean isUsable =
                status / 100 == 2 ? ResponseRelay.isOfTarget(response, head) : status < 500 && !relay.started();
        if (isOwn && isUsable && !response.notRun()) {
            replace(responding);
            responding.onHead(head);
            return;
        }
        if (isOwn) {
            gateway.statements().record(responding, response, request.selector());
        }
        if (ResponseRelay.isDeclined(response, request.traits().requestId(), responding.isFirstOnConnection())) {
            limits.recordNotRun();
            recorder.recordDeclined(
                    responding.target(), status, response.requestId().isPresent());
            drop(responding, new RunOutcome.Declined());
        } else {
            recorder.recordNotReplaced("failed by target");
            drop(responding, new RunOutcome.ConnectionFailed());
        }
    }

    @Override
    public void onContent(Attempt responding, ByteBuf chunk) {
        throw new IllegalStateException("a response has content before its head");
    }

    @Override
    public boolean onComplete(Attempt responding) {
        throw new IllegalStateException("a response ends before its head");
    }

    @Override
    public void onNotSent(Attempt failed, String reason) {
        recorder.recordUnreachable(failed.target(), reason);
        drop(failed, new RunOutcome.ConnectionFailed());
    }

    @Override
    public void onBroken(Attempt failed, String reason) {
        gateway.crashDetector().recordClosedRun(failed.target(), request.suspects(), failed.sentMillis());
        recorder.recordNotReplaced(reason);
        drop(failed, new RunOutcome.ConnectionFailed());
    }

    @Override
    public void onReadComplete(Attempt responding) {
        // Nothing of the response has reached the caller.
    }
}
