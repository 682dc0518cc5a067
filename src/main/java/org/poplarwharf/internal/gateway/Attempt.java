package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.InFlightRequest;
import org.poplarwharf.internal.http.ResponseListener;

/**
 * A request that is sent to one target, and the response to it. Passes what its connection reports on to its listener.
 *
 * <p>Invariant: reports nothing after it was cancelled. Confined to the event loop.
 */
final class Attempt implements ResponseListener {
    private final String key;
    private final Target target;
    private final Optional<Target> backup;
    private final long sentMillis;
    private Listener listener;
    private Optional<Target> replaced = Optional.empty();
    private Optional<InFlightRequest> inFlight = Optional.empty();
    private Consumer<Boolean> onEnd = completed -> {};
    private boolean sent;
    private boolean readingPaused;

    /** Receives what happens to an attempt. The methods are those of {@link ResponseListener}. */
    interface Listener {
        void onSending(Attempt attempt);

        void onHead(Attempt attempt, HttpResponse head);

        void onContent(Attempt attempt, ByteBuf chunk);

        boolean onComplete(Attempt attempt);

        void onNotSent(Attempt attempt, String reason);

        void onBroken(Attempt attempt, String reason);

        void onReadComplete(Attempt attempt);
    }

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param key the key by which the target was selected
     * @param backup the target that keeps a copy of the run's state
     */
    Attempt(String key, Target target, Optional<Target> backup, long sentMillis, Listener listener) {
        this.key = key;
        this.target = target;
        this.backup = backup;
        this.sentMillis = sentMillis;
        this.listener = listener;
    }

    String key() {
        return key;
    }

    Target target() {
        return target;
    }

    Optional<Target> backup() {
        return backup;
    }

    /** Returns the silent target whose place this attempt's takes, and which may still go on. */
    Optional<Target> replaced() {
        return replaced;
    }

    void setReplaced(Optional<Target> silent) {
        replaced = silent;
    }

    long sentMillis() {
        return sentMillis;
    }

    /** Returns whether the target may have run the request. */
    boolean wasSent() {
        return sent;
    }

    void setListener(Listener latest) {
        listener = latest;
    }

    /** Sets what is told once that the attempt has ended, and whether the target certainly does nothing for it any more. */
    void onEnd(Consumer<Boolean> action) {
        onEnd = action;
    }

    private void end(boolean completed) {
        Consumer<Boolean> action = onEnd;
        onEnd = ignored -> {};
        action.accept(completed);
    }

    void setInFlight(InFlightRequest request) {
        inFlight = Optional.of(request);
    }

    /** Returns whether a response that names no request can only be the one to this attempt. */
    boolean isFirstOnConnection() {
        return inFlight.filter(InFlightRequest::isFirstOnConnection).isPresent();
    }

    /** Ends the attempt by closing its connection, which makes the target stop. */
    void cancel() {
        inFlight.ifPresent(InFlightRequest::cancel);
        inFlight = Optional.empty();
        end(!sent);
    }

    /** Stops reading the response, so that no more than a buffer is kept for a slow caller. */
    void pauseReading() {
        readingPaused = true;
        inFlight.ifPresent(request -> request.setReading(false));
    }

    /** Resumes reading, and returns whether it was paused. */
    boolean resumeReading() {
        boolean wasPaused = readingPaused;
        readingPaused = false;
        inFlight.ifPresent(request -> request.setReading(true));
        return wasPaused;
    }

    @Override
    public void onSending() {
        sent = true;
        listener.onSending(this);
    }

    @Override
    public void onHead(HttpResponse head) {
        listener.onHead(this, head);
    }

    @Override
    public void onContent(ByteBuf chunk) {
        listener.onContent(this, chunk);
    }

    @Override
    public boolean onComplete() {
        boolean ended = listener.onComplete(this);
        if (ended) {
            end(true);
        }
        return ended;
    }

    @Override
    public void onNotSent(String reason) {
        end(true);
        listener.onNotSent(this, reason);
    }

    @Override
    public void onBroken(String reason) {
        end(false);
        listener.onBroken(this, reason);
    }

    @Override
    public void onReadComplete() {
        listener.onReadComplete(this);
    }
}
