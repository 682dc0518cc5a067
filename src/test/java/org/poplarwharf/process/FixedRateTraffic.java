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
 * Sends requests at a fixed rate on a separate thread, without waiting for earlier responses (open loop).
 *
 * <p>A request that can't connect is retried at another node, as a load balancer does. Thread-safe.
 */
final class FixedRateTraffic {
    private static final int MAX_ATTEMPTS = 20;
    private static final long RETRY_DELAY_MILLIS = 100;

    private final CallerClient callerClient;
    private final Supplier<String> address;
    private final IntFunction<VerifiableRequest> requests;
    private final IntSupplier requestNumbers;
    private final List<VerifiableRequest> sentRequests = new ArrayList<>();
    private final List<CompletableFuture<CallerResponse>> responses = new ArrayList<>();
    private final Thread thread;
    private volatile boolean stopped;

    private FixedRateTraffic(
            CallerClient callerClient,
            Supplier<String> address,
            IntSupplier requestNumbers,
            IntFunction<VerifiableRequest> requests,
            double requestsPerSecond) {
        this.callerClient = callerClient;
        this.address = address;
        this.requestNumbers = requestNumbers;
        this.requests = requests;
        this.thread = new Thread(() -> run(requestsPerSecond), "traffic");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Starts sending requests.
     *
     * @param address supplies the node address for each request
     * @param requests creates a request from its number
     */
    static FixedRateTraffic start(
            Fleet fleet, Supplier<String> address, IntFunction<VerifiableRequest> requests, double requestsPerSecond) {
        return new FixedRateTraffic(
                fleet.callerClient(), address, fleet::nextRequestNumber, requests, requestsPerSecond);
    }

    /** Returns the number of requests sent so far. */
    int sentCount() {
        synchronized (sentRequests) {
            return sentRequests.size();
        }
    }

    /** Stops sending, waits for all responses and returns them. */
    List<CallerResponse> stop() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        return CallerClient.awaitAll(responses);
    }

    /** Continues for this time, then stops as {@link #stop} does. */
    List<CallerResponse> stopAfter(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
        return stop();
    }

    static void sleepMillis(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Returns the requests sent; complete after {@link #stop}. */
    List<VerifiableRequest> sentRequests() {
        return sentRequests;
    }

    private void run(double requestsPerSecond) {
        long startNanos = System.nanoTime();
        for (long index = 0; !stopped; index++) {
            long dueNanos = startNanos + (long) (index * 1e9 / requestsPerSecond);
            while (System.nanoTime() < dueNanos && !stopped) {
                LockSupport.parkNanos(dueNanos - System.nanoTime());
            }
            if (!stopped) {
                send(requests.apply(requestNumbers.getAsInt()));
            }
        }
    }

    private void send(VerifiableRequest request) {
        synchronized (sentRequests) {
            sentRequests.add(request);
        }
        responses.add(attempt(request, 1));
    }

    private CompletableFuture<CallerResponse> attempt(VerifiableRequest request, int attemptNumber) {
        return callerClient.send(address.get(), request).thenCompose(response -> {
            if (response.status() != CallerResponse.NOT_CONNECTED || attemptNumber >= MAX_ATTEMPTS) {
                callerClient.recordResponse(response);
                return CompletableFuture.completedFuture(response);
            }
            return CompletableFuture.supplyAsync(
                            () -> null, CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS))
                    .thenCompose(ignored -> attempt(request, attemptNumber + 1));
        });
    }
}
