package org.poplarwharf.review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * The network path from one machine to one server, as a proxy. While it is cut, new channels hang and what is sent is held
 * up. Held bytes are sent again as TCP does it, at twice the interval each time, from 200 ms on; so the first of these
 * times after the path has healed brings them. They are lost if the sender resets its channel, but not if it closes it.
 * Thread-safe.
 */
final class Link implements AutoCloseable {
    private static final long FIRST_RETRANSMISSION_MILLIS = 200;

    private final String name;
    private final int targetPort;
    private final Recorder recorder;
    private final List<Socket> fillers = new ArrayList<>();
    private final ServerSocket listener;
    private boolean cut;
    private boolean closed;

    Link(String name, int targetPort, Recorder recorder) throws IOException {
        this.name = name;
        this.targetPort = targetPort;
        this.recorder = recorder;
        listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized boolean isCut() {
        return cut;
    }

    /** Cuts the path. The listener's queue is filled, so that the opening packets of new channels are dropped. */
    void cut() throws IOException {
        synchronized (this) {
            cut = true;
        }
        for (int i = 0; i < 4; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), 50);
            } catch (IOException e) {
                // The queue is full.
            }
        }
        recorder.write("path %s is cut", name);
    }

    void heal() {
        fillers.forEach(Http::reset);
        fillers.clear();
        synchronized (this) {
            cut = false;
            notifyAll();
        }
        recorder.write("path %s has healed", name);
    }

    private synchronized void awaitHealed() throws InterruptedException {
        while (cut && !closed) {
            wait();
        }
    }

    private void accept() throws IOException, InterruptedException {
        while (true) {
            awaitHealed();
            Socket near = listener.accept();
            if (isCut()) {
                // A channel that was opened while the path was being cut; nothing passes it until it is healed.
                Threads.start(() -> {
                    awaitHealed();
                    Http.reset(near);
                });
                continue;
            }
            Threads.start(() -> connect(near));
        }
    }

    private void connect(Socket near) throws IOException {
        Socket far = new Socket();
        try {
            far.connect(new InetSocketAddress("127.0.0.1", targetPort), 1_000);
        } catch (IOException e) {
            Http.reset(near);
            return;
        }
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Threads.start(() -> pass(near, far, true));
        Threads.start(() -> pass(far, near, false));
    }

    private void pass(Socket from, Socket to, boolean towardsServer) throws IOException, InterruptedException {
        byte[] buffer = new byte[16 * 1024];
        long heldSinceMillis = -1;
        List<byte[]> held = new ArrayList<>();
        boolean ended = false;
        boolean reset = false;
        try {
            InputStream in = from.getInputStream();
            while (true) {
                if (!ended && !reset) {
                    from.setSoTimeout(held.isEmpty() ? 0 : 20);
                    try {
                        int count = in.read(buffer);
                        if (count < 0) {
                            ended = true;
                        } else {
                            held.add(java.util.Arrays.copyOf(buffer, count));
                        }
                    } catch (java.net.SocketTimeoutException e) {
                        // Nothing more for now.
                    } catch (IOException e) {
                        reset = true;
                    }
                } else {
                    Thread.sleep(20);
                }
                if (reset) {
                    if (!held.isEmpty()) {
                        recorder.write("path %s: %d pieces are lost with a reset", name, held.size());
                    }
                    awaitHealed();
                    Http.reset(to);
                    return;
                }
                if (isCut()) {
                    if (heldSinceMillis < 0 && (!held.isEmpty() || ended)) {
                        heldSinceMillis = recorder.nowMillis();
                    }
                    continue;
                }
                if (heldSinceMillis >= 0) {
                    long dueMillis = heldSinceMillis + FIRST_RETRANSMISSION_MILLIS;
                    for (long interval = FIRST_RETRANSMISSION_MILLIS; dueMillis < recorder.nowMillis(); ) {
                        interval *= 2;
                        dueMillis += interval;
                    }
                    Thread.sleep(dueMillis - recorder.nowMillis());
                    if (isCut()) {
                        continue;
                    }
                    recorder.write(
                            "path %s: %d pieces held since %d go on %s",
                            name, held.size(), heldSinceMillis, towardsServer ? "to the server" : "to the machine");
                    heldSinceMillis = -1;
                }
                for (byte[] piece : held) {
                    to.getOutputStream().write(piece);
                }
                held.clear();
                if (ended) {
                    to.shutdownOutput();
                    return;
                }
            }
        } catch (IOException e) {
            awaitHealed();
            Http.reset(from);
            Http.reset(to);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        notifyAll();
        listener.close();
        fillers.forEach(Http::reset);
    }
}
