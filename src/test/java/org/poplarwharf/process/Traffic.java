package org.poplarwharf.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Requests at a fixed rate from a thread of their own, whether earlier ones were answered or not.
 *
 * <p>A request that found no connection goes to another node, as a balancer would send it. Thread-safe.
 */
final class Traffic {
    private static final int MAX_TRIES = 20;
    private static final long RETRY_MILLIS = 100;

    private final Callers callers;
    private final Supplier<String> address;
    private final IntFunction<CallerRequest> requests;
    private final IntSupplier numbers;
    private final List<CallerRequest> sent = new ArrayList<>();
    private final List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
    private final Thread thread;
    private volatile boolean stopped;

    private Traffic(
            Callers callers,
            Supplier<String> address,
            IntSupplier numbers,
            IntFunction<CallerRequest> requests,
            double perSecond) {
        this.callers = callers;
        this.address = address;
        this.numbers = numbers;
        this.requests = requests;
        this.thread = new Thread(() -> run(perSecond), "traffic");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Starts to send.
     *
     * @param address tells the node for each request
     * @param requests makes a request from its number
     */
    static Traffic start(Fleet fleet, Supplier<String> address, IntFunction<CallerRequest> requests, double perSecond) {
        return new Traffic(fleet.callers(), address, fleet::nextNumber, requests, perSecond);
    }

    /** Returns how many requests were sent so far. */
    int sentCount() {
        synchronized (sent) {
            return sent.size();
        }
    }

    /** Sends no more, waits for every answer and returns them. */
    List<CallerAnswer> stop() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        return Callers.awaitAll(answers);
    }

    /** Sends for a while and waits for every answer. */
    List<CallerAnswer> stopAfter(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
        return stop();
    }

    static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Returns what was sent; complete after {@link #stop}. */
    List<CallerRequest> sent() {
        return sent;
    }

    private void run(double perSecond) {
        long startNanos = System.nanoTime();
        for (long index = 0; !stopped; index++) {
            long dueNanos = startNanos + (long) (index * 1e9 / perSecond);
            while (System.nanoTime() < dueNanos && !stopped) {
                LockSupport.parkNanos(dueNanos - System.nanoTime());
            }
            if (!stopped) {
                send(requests.apply(numbers.getAsInt()));
            }
        }
    }

    private void send(CallerRequest request) {
        synchronized (sent) {
            sent.add(request);
        }
        answers.add(attempt(request, 1));
    }

    private CompletableFuture<CallerAnswer> attempt(CallerRequest request, int tries) {
        return callers.send(address.get(), request).thenCompose(answer -> {
            if (answer.status() != CallerAnswer.NOT_CONNECTED || tries >= MAX_TRIES) {
                callers.keep(answer);
                return CompletableFuture.completedFuture(answer);
            }
            return CompletableFuture.supplyAsync(
                            () -> null, CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS))
                    .thenCompose(ignored -> attempt(request, tries + 1));
        });
    }
}
