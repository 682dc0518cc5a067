package org.poplarwharf.support;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Runs as many requests at once as a target has slots, and lets some wait until the target is brittle. From then on it
 * declines further ones, and the target fails if it declines more than some in a second. Thread-safe.
 */
public final class BrittleScript implements ScriptedTarget.Script {
    private static final int SLOT_COUNT = 4;
    private static final int WAITING_COUNT = 8;
    private static final long RUN_MILLIS = 100;
    private static final long WINDOW_MILLIS = 1_000;

    private final int maxDeclinedCount;
    private final Runnable onFall;
    private final Deque<Long> declinedMillis = new ArrayDeque<>();
    private boolean brittle;
    private boolean failed;
    private int runningCount;
    private int admittedCount;

    public BrittleScript(int maxDeclinedCount, Runnable onFall) {
        this.maxDeclinedCount = maxDeclinedCount;
        this.onFall = onFall;
    }

    /** Lets no requests wait from now on. */
    public synchronized void becomeBrittle() {
        brittle = true;
    }

    @Override
    public void respond(ScriptedTarget.Request request, OutputStream out) throws IOException, InterruptedException {
        if (!admit()) {
            if (isFailed()) {
                throw new IOException("the target has failed");
            }
            ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable");
            return;
        }
        try {
            awaitSlot();
            Thread.sleep(RUN_MILLIS);
        } finally {
            release();
        }
        ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
    }

    /** Admits requests again after a failure. */
    public synchronized void recover() {
        failed = false;
    }

    private synchronized boolean isFailed() {
        return failed;
    }

    private synchronized boolean admit() {
        if (failed) {
            return false;
        }
        if (admittedCount < SLOT_COUNT + (brittle ? 0 : WAITING_COUNT)) {
            admittedCount++;
            return true;
        }
        long nowMillis = System.currentTimeMillis();
        declinedMillis.add(nowMillis);
        declinedMillis.removeIf(millis -> millis <= nowMillis - WINDOW_MILLIS);
        if (brittle && declinedMillis.size() > maxDeclinedCount) {
            declinedMillis.clear();
            failed = true;
            onFall.run();
        }
        return false;
    }

    private synchronized void awaitSlot() throws InterruptedException {
        while (runningCount >= SLOT_COUNT) {
            wait();
        }
        runningCount++;
    }

    private synchronized void release() {
        runningCount--;
        admittedCount--;
        notifyAll();
    }
}
