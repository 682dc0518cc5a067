package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.RouteKind;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.AnswerListener;
import org.poplarwharf.internal.http.SentRequest;
import org.poplarwharf.internal.http.TargetConnections;

/**
 * One request from its arrival to its one final answer.
 *
 * <p>Invariants: the caller gets one answer, at the request's deadline at the latest; a request that may have run is
 * sent again only where its route allows it; "not run" is said only where no target can have run it; an answer that
 * breaks off never looks complete. Confined to the event loop.
 */
final class Exchange implements AnswerListener, Places.Asker {
    /** Nothing useful is run in less. */
    private static final long LEAST_RUN_MILLIS = 15;

    private final GatewayParts parts;
    private final CallerSide caller;
    private final FullHttpRequest request;
    private final RequestTraits traits;
    private final Route route;
    private final String service;
    private final Places places;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private final Set<String> excluded = new HashSet<>();
    private final AnswerRelay answer;
    private final ExchangeNotes notes;
    private final Future<?> deadlineTimer;
    private Future<?> progressTimer;
    private String placeKey = "";
    private SentRequest sent;
    private Target target;
    private Optional<Target> backup = Optional.empty();
    private long sentMillis;
    private boolean eventSeen;
    private int targetsRun;
    private int sends;
    private boolean done;

    Exchange(GatewayParts parts, CallerSide caller, FullHttpRequest request, Route route, RequestTraits traits) {
        this.parts = parts;
        this.caller = caller;
        this.request = request;
        this.route = route;
        this.traits = traits;
        this.service = route.serviceFor(traits.requestId());
        this.places = parts.placesFor(service);
        this.arrivedMillis = parts.nowMillis();
        long callerMillis = traits.millisLeft().orElse(route.timeoutMillis());
        this.deadlineMillis = arrivedMillis + Math.min(callerMillis, route.timeoutMillis());
        this.answer = new AnswerRelay(
                parts.headerNames(), caller, traits.requestId(), route.kind().isStream(), traits.lastEventId());
        this.notes = new ExchangeNotes(parts, route, traits.requestId(), arrivedMillis);
        this.deadlineTimer = parts.after(deadlineMillis - arrivedMillis, this::expire);
    }

    void start() {
        parts.retries().requested(service, arrivedMillis);
        seek();
    }

    private void seek() {
        sends++;
        placeKey = parts.nextKey();
        notes.seeks(service, traits, sends, deadlineMillis - parts.nowMillis());
        places.seek(
                new DispatchRequest(
                        placeKey,
                        parts.settings().zone(),
                        service,
                        traits,
                        route.priority(),
                        Math.min(deadlineMillis, arrivedMillis + route.patienceMillis()),
                        arrivedMillis + route.objectiveMillis(),
                        parts.policy().wantsBackup(route, traits),
                        Set.copyOf(excluded)),
                this);
    }

    @Override
    public void placed(Target where, Optional<Target> copyKeeper, String by) {
        if (!done) {
            backup = copyKeeper;
            send(where, Optional.empty(), by);
        }
    }

    /** Sends the request, or what is left of its stream to the target that keeps a copy of its memory. */
    private void send(Target where, Optional<InetSocketAddress> copyAt, String by) {
        target = where;
        sentMillis = parts.nowMillis();
        eventSeen = false;
        long millisLeft = deadlineMillis - sentMillis;
        if (millisLeft < LEAST_RUN_MILLIS) {
            expire();
            return;
        }
        notes.sent(target, by, millisLeft);
        ForwardingTraits forwarding = new ForwardingTraits(
                target.id(),
                millisLeft,
                route.kind().isStream() ? answer.lastEventId() : OptionalLong.empty(),
                copyAt.isEmpty() ? backup.map(Target::address) : Optional.empty(),
                copyAt,
                OptionalInt.of(route.priority()));
        TargetConnections.Opening opening = new TargetConnections.Opening(
                target.id(),
                target.address(),
                parts.policy().connectTimeoutMillis(millisLeft),
                parts.policy().maxIdleMillis(route.kind()));
        sent = parts.connections().send(opening, Headers.forwarded(request, parts.headerNames(), forwarding), this);
        waitForProgress(parts.policy().patienceMillis(route, targetsRun + 1));
    }

    @Override
    public void refused(String reason, long retryAfterMillis) {
        if (!done) {
            giveUp(reason, retryAfterMillis);
        }
    }

    @Override
    public void sent() {
        targetsRun++;
    }

    @Override
    public void head(HttpResponse received) {
        answer.head(received);
    }

    @Override
    public void content(ByteBuf piece) {
        if (answer.stray()) {
            return;
        }
        switch (answer.add(piece)) {
            case PART -> {}
            case EVENTS -> eventsCame();
            case SPOILED -> discard("spoiled answer");
        }
    }

    private void eventsCame() {
        if (!eventSeen) {
            eventSeen = true;
            places.outcome(placeKey, new RunOutcome.FirstEventReceived(parts.nowMillis() - sentMillis));
        }
        waitForProgress(parts.policy().gapPatienceMillis(route, targetsRun + 1));
        if (!caller.writable() && sent != null) {
            sent.reading(false);
        }
    }

    /** The caller takes bytes again. */
    void writable() {
        if (sent != null) {
            sent.reading(true);
        }
    }

    @Override
    public void pieceDone() {
        answer.flush();
    }

    @Override
    public boolean complete() {
        if (answer.stray()) {
            notes.strayAnswer(target);
            return false;
        }
        if (answer.spoiled()) {
            discard("spoiled answer");
            return true;
        }
        sent = null;
        waitForProgress(OptionalLong.empty());
        if (answer.notRun()) {
            declined();
            return true;
        }
        boolean failed = answer.status() >= 500 && !answer.begun();
        if (failed && parts.policy().repeatsFailures(route) && mayRepeat()) {
            repeat("failed by target");
            return true;
        }
        if (!eventSeen) {
            places.outcome(placeKey, new RunOutcome.FirstEventReceived(parts.nowMillis() - sentMillis));
        }
        places.ended(placeKey);
        answer.finish();
        close("request-answered", "status", answer.status());
        return true;
    }

    private void declined() {
        notes.declined(target, answer.status());
        targetsRun--;
        places.outcome(placeKey, new RunOutcome.Declined());
        answer.drop();
        if (parts.policy().exclude(route, sends)) {
            excluded.add(target.id());
        }
        seekElsewhere("declined by target");
    }

    @Override
    public void notSent(String reason) {
        sent = null;
        waitForProgress(OptionalLong.empty());
        places.outcome(placeKey, new RunOutcome.ConnectionFailed());
        excluded.add(target.id());
        notes.unreachable(target, reason);
        seekElsewhere("target unreachable");
    }

    /** The last target did not run the request: another one may. */
    private void seekElsewhere(String reason) {
        boolean allowed = targetsRun == 0 || mayRunAgain();
        if (allowed && timeLeft() && sends < parts.policy().maxSends() && takesRetry()) {
            seek();
        } else {
            giveUp(reason, parts.policy().retryAfterDeclinedMillis());
        }
    }

    @Override
    public void broken(String reason) {
        sent = null;
        waitForProgress(OptionalLong.empty());
        if (mayRepeat()) {
            repeat(reason);
        } else if (mayGoOnFromCopy()) {
            goOnFromCopy(reason);
        } else {
            breakOff(reason);
        }
    }

    /** Tells whether another target keeps the memory of a run that has begun: going on there is the same run. */
    private boolean mayGoOnFromCopy() {
        return backup.isPresent() && answer.begun() && answer.lastEventId().isPresent() && timeLeft() && takesRetry();
    }

    private void goOnFromCopy(String reason) {
        Target keeper = backup.orElseThrow();
        backup = Optional.empty();
        places.outcome(placeKey, new RunOutcome.ConnectionFailed());
        notes.broken(target, true, reason, targetsRun, answer.events());
        answer.drop();
        placeKey = parts.nextKey();
        send(keeper, Optional.of(keeper.address()), "copy");
    }

    /** The target sends what is no answer, or nothing. */
    private void discard(String reason) {
        cancelSent();
        broken(reason);
    }

    private void noProgress() {
        if (!done && sent != null) {
            discard("no progress");
        }
    }

    /** Tells whether a request that may have run may go to one more target, and takes that from the budget. */
    private boolean mayRepeat() {
        return mayRunAgain() && targetsRun < route.maxTargets() && timeLeft() && takesRetry();
    }

    /** Tells whether a second run is allowed, and could go on with the answer as far as the caller has it. */
    private boolean mayRunAgain() {
        return route.kind().mayRunAgain() && (!answer.begun() || resumable());
    }

    private boolean takesRetry() {
        return parts.retries().take(service, parts.nowMillis());
    }

    private boolean timeLeft() {
        return deadlineMillis - parts.nowMillis() > LEAST_RUN_MILLIS;
    }

    private void repeat(String reason) {
        places.outcome(placeKey, new RunOutcome.ConnectionFailed());
        notes.broken(target, true, reason, targetsRun, answer.events());
        answer.drop();
        excluded.add(target.id());
        seek();
    }

    private void breakOff(String reason) {
        places.outcome(placeKey, new RunOutcome.ConnectionFailed());
        notes.broken(target, false, reason, targetsRun, answer.events());
        if (answer.begun()) {
            caller.abort();
            close("request-cut", "reason", reason);
        } else {
            fail(FailureCode.TARGET_FAILED, reason, 0);
        }
    }

    private boolean resumable() {
        return route.kind() == RouteKind.RESUMABLE_STREAM
                && answer.lastEventId().isPresent();
    }

    private void giveUp(String reason, long retryAfterMillis) {
        if (answer.begun()) {
            caller.abort();
            close("request-cut", "reason", reason);
        } else if (targetsRun > 0) {
            fail(FailureCode.TARGET_FAILED, reason, 0);
        } else {
            fail(FailureCode.OVERLOADED, reason, retryAfterMillis);
        }
    }

    private void expire() {
        if (!done) {
            leavePlace();
            if (targetsRun > 0 && !answer.begun()) {
                fail(FailureCode.DEADLINE_EXCEEDED_RUNNING, "deadline", 0);
            } else {
                giveUp("deadline", 0);
            }
        }
    }

    /** The caller has left. */
    void callerGone() {
        if (!done) {
            leavePlace();
            close("caller-left", "begun", answer.begun());
        }
    }

    private void leavePlace() {
        cancelSent();
        places.withdraw(placeKey);
        places.outcome(placeKey, new RunOutcome.Abandoned());
    }

    private void fail(FailureCode code, String reason, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        parts.headerNames().ownAnswer(headers, traits.requestId());
        ByteBuf body = Headers.problem(headers, code, reason, retryAfterMillis);
        caller.answer(code.httpStatus(), headers, body);
        close("request-failed", "code", code.text(), "reason", reason, "retryAfterMillis", retryAfterMillis);
    }

    private void close(String event, Object... fields) {
        done = true;
        deadlineTimer.cancel(false);
        waitForProgress(OptionalLong.empty());
        notes.closed(event, fields);
        answer.release();
        request.release();
    }

    private void cancelSent() {
        if (sent != null) {
            sent.cancel();
            sent = null;
        }
    }

    private void waitForProgress(OptionalLong millis) {
        if (progressTimer != null) {
            progressTimer.cancel(false);
            progressTimer = null;
        }
        if (millis.isPresent()) {
            progressTimer = parts.after(millis.getAsLong(), this::noProgress);
        }
    }
}
