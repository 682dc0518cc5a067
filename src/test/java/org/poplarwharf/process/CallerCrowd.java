package org.poplarwharf.process;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Connections that all send the same, never read, and stay open. Thread-safe. */
final class CallerCrowd implements AutoCloseable {
    /** Small, so that responses that nobody reads stay with their sender. */
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private static final int CONNECT_TIMEOUT_MILLIS = 5_000;
    private static final int POLL_MILLIS = 500;
    private static final int MAX_POLL_COUNT = 60;

    private final List<Socket> sockets = new ArrayList<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private final CountDownLatch running;

    /** What a connection sends. A write blocks while the other end reads nothing. */
    interface Script {
        void send(OutputStream out) throws IOException;
    }

    private CallerCrowd(int count) {
        running = new CountDownLatch(count);
    }

    /** Opens the connections. */
    static CallerCrowd open(int count, InetSocketAddress address, Script script) {
        CallerCrowd crowd = new CallerCrowd(count);
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket();
            crowd.sockets.add(socket);
            Thread.ofPlatform().daemon().start(() -> crowd.run(socket, address, script));
        }
        return crowd;
    }

    private void run(Socket socket, InetSocketAddress address, Script script) {
        try {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            script.send(new CountingStream(socket.getOutputStream(), sentBytes));
        } catch (IOException e) {
            // The gateway may refuse or close a connection.
        } finally {
            running.countDown();
        }
    }

    /** Returns once each connection has sent all or been closed, or none can send any more. */
    void awaitStandstill() throws InterruptedException {
        for (int i = 0; i < MAX_POLL_COUNT; i++) {
            long sentBefore = sentBytes.get();
            if (running.await(POLL_MILLIS, TimeUnit.MILLISECONDS) || sentBytes.get() == sentBefore && i > 1) {
                break;
            }
        }
        // What has been sent last may not have been read.
        Thread.sleep(POLL_MILLIS);
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private static final class CountingStream extends OutputStream {
        private final OutputStream out;
        private final AtomicLong count;

        CountingStream(OutputStream out, AtomicLong count) {
            this.out = out;
            this.count = count;
        }

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            out.write(bytes, offset, length);
            count.addAndGet(length);
        }
    }
}
