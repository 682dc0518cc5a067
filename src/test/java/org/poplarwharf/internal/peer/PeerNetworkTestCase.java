package org.poplarwharf.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import net.jqwik.api.lifecycle.AfterTry;
import org.junit.jupiter.api.AfterEach;
import org.poplarwharf.internal.kernel.MonotonicClock;

/** Base class of tests that run the peer networks of several nodes on one event loop. */
abstract class PeerNetworkTestCase {
    static final long DEADLINE_MILLIS = 10_000;
    static final int MESH_CONNECTION_COUNT = 4;
    private static final PeerOptions OPTIONS =
            new PeerOptions(50, 300, 300, 20, 100, 20, MESH_CONNECTION_COUNT, 400, 10_000, 100_000);

    private final Eventloop eventloop =
            Eventloop.builder().withThreadName("control").build();
    final MetricRegistry metrics = new MetricRegistry();
    private final List<TcpPeerNetwork> started = new CopyOnWriteArrayList<>();
    private Thread thread;

    @AfterEach
    @AfterTry
    void stop() throws Exception {
        if (thread == null) {
            return;
        }
        for (TcpPeerNetwork peers : started) {
            callOnEventLoop(() -> peers.stop());
        }
        started.clear();
        eventloop.submit(() -> eventloop.keepAlive(false)).get();
        thread.join(DEADLINE_MILLIS);
        thread = null;
    }

    RecordingListener listen(TcpPeerNetwork peers) throws Exception {
        RecordingListener recorder = new RecordingListener();
        callOnEventLoop(() -> {
            peers.addListener(recorder);
            return null;
        });
        return recorder;
    }

    TcpPeerNetwork node(String id) throws Exception {
        return node(id, "127.0.0.1:0", 1);
    }

    TcpPeerNetwork node(String id, String address, long incarnation) throws Exception {
        if (thread == null) {
            eventloop.keepAlive(true);
            thread = new Thread(eventloop);
            thread.start();
        }
        PeerIdentity identity = new PeerIdentity(id, incarnation, "z1", address);
        TcpPeerNetwork peers = callOnEventLoop(() -> {
            TcpPeerNetwork network =
                    new TcpPeerNetwork(eventloop, MonotonicClock.system(), OPTIONS, identity, metrics, 1);
            network.start();
            return network;
        });
        started.add(peers);
        return peers;
    }

    <T> T callOnEventLoop(Callable<T> work) throws Exception {
        java.util.concurrent.CompletableFuture<T> result = new java.util.concurrent.CompletableFuture<>();
        eventloop.execute(() -> {
            try {
                result.complete(work.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(DEADLINE_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    void awaitUntil(Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
        while (!callOnEventLoop(condition)) {
            assertThat(System.nanoTime()).as("deadline").isLessThan(endNanos);
            java.util.concurrent.locks.LockSupport.parkNanos(1_000_000);
        }
    }

    static final class RecordingListener implements PeerNetwork.Listener {
        final List<Long> versions = new CopyOnWriteArrayList<>();
        final List<String> events = new CopyOnWriteArrayList<>();

        @Override
        public void onMessage(String peerAddress, PeerMessage message) {
            if (message instanceof PeerMessage.ConfigVersion known) {
                versions.add(known.version());
            }
        }

        @Override
        public void onConnected(String peerAddress, PeerMessage.Hello hello) {
            events.add("up " + peerAddress);
        }

        @Override
        public void onDisconnected(String peerAddress) {
            events.add("down " + peerAddress);
        }
    }
}
