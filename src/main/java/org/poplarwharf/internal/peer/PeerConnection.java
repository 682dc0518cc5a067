package org.poplarwharf.internal.peer;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.common.exception.MalformedDataException;
import io.activej.common.exception.TruncatedDataException;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.binary.decoder.ByteBufsDecoders;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.net.socket.tcp.ITcpSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * A TCP connection to another node. A frame is a 4-byte length followed by a MessagePack message.
 *
 * <p>Invariant: the listener gets the hello first, then the messages in order, then {@link Listener#onClosed} exactly
 * once and as the last call. Confined to the control thread.
 */
final class PeerConnection {
    private static final MessagePackCodec<PeerMessage> CODEC = new MessagePackCodec<>(PeerMessage.class);

    private final ITcpSocket socket;
    private final Optional<String> dialedAddress;
    private final PeerOptions options;
    private final MonotonicClock clock;
    private final PeerTrafficMeter traffic;
    private final Listener listener;
    private final BinaryChannelSupplier input;
    private final Deque<ByteBuf> writeQueue = new ArrayDeque<>();
    private final long openedMillis;
    private int queuedBytes;
    private boolean writing;
    private boolean closed;
    private long lastReceivedMillis;
    private long lastPingMillis;
    private long lastUsedMillis;
    private Optional<PeerMessage.Hello> hello = Optional.empty();

    PeerConnection(
            ITcpSocket socket,
            Optional<String> dialedAddress,
            PeerOptions options,
            MonotonicClock clock,
            PeerTrafficMeter traffic,
            Listener listener) {
        this.socket = socket;
        this.dialedAddress = dialedAddress;
        this.options = options;
        this.clock = clock;
        this.traffic = traffic;
        this.listener = listener;
        this.openedMillis = clock.nowMillis();
        this.lastReceivedMillis = openedMillis;
        this.lastUsedMillis = openedMillis;
        this.input = BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(socket));
    }

    /** Sends the hello message and reads frames until the connection closes. */
    void open(PeerMessage.Hello ownHello) {
        send(ownHello);
        readNext();
    }

    boolean isOutbound() {
        return dialedAddress.isPresent();
    }

    Optional<String> dialedAddress() {
        return dialedAddress;
    }

    /** Returns whether a ping is due, and if so starts the next ping interval. */
    boolean startPingIfDue() {
        long nowMillis = clock.nowMillis();
        if (nowMillis - lastPingMillis < options.pingIntervalMillis()) {
            return false;
        }
        lastPingMillis = nowMillis;
        return true;
    }

    boolean isClosed() {
        return closed;
    }

    Optional<PeerMessage.Hello> hello() {
        return hello;
    }

    long ageMillis() {
        return clock.nowMillis() - openedMillis;
    }

    long millisSinceLastReceived() {
        return clock.nowMillis() - lastReceivedMillis;
    }

    /** Returns the milliseconds since the last message in either direction, pings and pongs excluded. */
    long idleMillis() {
        return clock.nowMillis() - lastUsedMillis;
    }

    boolean send(PeerMessage message) {
        if (closed) {
            return false;
        }
        if (!(message instanceof PeerMessage.Ping) && !(message instanceof PeerMessage.Pong)) {
            lastUsedMillis = clock.nowMillis();
        }
        byte[] messageBytes = CODEC.encode(message);
        if (messageBytes.length > options.maxFrameBytes()) {
            return false;
        }
        if (queuedBytes + messageBytes.length > options.maxQueuedBytes()) {
            close();
            return false;
        }
        queuedBytes += messageBytes.length + Integer.BYTES;
        writeQueue.add(frame(messageBytes));
        traffic.sent(message, messageBytes.length + Integer.BYTES);
        writeNext();
        return !closed;
    }

    void close() {
        if (closed) {
            return;
        }
        closed = true;
        input.close();
        socket.close();
        writeQueue.forEach(ByteBuf::recycle);
        writeQueue.clear();
        listener.onClosed(this);
    }

    private static ByteBuf frame(byte[] messageBytes) {
        ByteBuf buffer = ByteBufPool.allocate(messageBytes.length + Integer.BYTES);
        buffer.writeInt(messageBytes.length);
        buffer.put(messageBytes);
        return buffer;
    }

    private void writeNext() {
        if (writing || closed || writeQueue.isEmpty()) {
            return;
        }
        writing = true;
        ByteBuf buffer = writeQueue.poll();
        int sizeBytes = buffer.readRemaining();
        socket.write(buffer).whenComplete(($, e) -> handleWritten(sizeBytes, e));
    }

    private void handleWritten(int sizeBytes, Exception e) {
        writing = false;
        queuedBytes -= sizeBytes;
        if (e != null) {
            close();
            return;
        }
        writeNext();
    }

    private void readNext() {
        input.decode(ByteBufsDecoders.ofIntSizePrefixedBytes(options.maxFrameBytes()))
                .async()
                .whenComplete(this::handleRead);
    }

    private void handleRead(ByteBuf frame, Exception e) {
        if (closed) {
            if (frame != null) {
                frame.recycle();
            }
            return;
        }
        if (e != null) {
            handleReadFailure(e);
            return;
        }
        lastReceivedMillis = clock.nowMillis();
        if (handleFrame(frame.asArray())) {
            readNext();
        }
    }

    private void handleReadFailure(Exception e) {
        if (e instanceof MalformedDataException && !(e instanceof TruncatedDataException)) {
            listener.onMalformedFrame(this, Reporter.malformedMessage(socket.toString(), e));
        }
        close();
    }

    private boolean handleFrame(byte[] messageBytes) {
        PeerMessage message;
        try {
            message = CODEC.decode(messageBytes, "a node");
        } catch (PoplarWharfException e) {
            listener.onMalformedFrame(this, e);
            close();
            return false;
        }
        traffic.received(message, messageBytes.length + Integer.BYTES);
        try {
            return handleMessage(message);
        } catch (RuntimeException e) {
            listener.onMalformedFrame(
                    this, Reporter.malformedMessage("a node whose message lacks a required field", e));
            close();
            return false;
        }
    }

    private boolean handleMessage(PeerMessage message) {
        boolean expectsHello = hello.isEmpty();
        if (expectsHello != message instanceof PeerMessage.Hello) {
            listener.onMalformedFrame(
                    this, Reporter.malformedMessage("a node that did not send exactly one hello message first", null));
            close();
            return false;
        }
        switch (message) {
            case PeerMessage.Hello received -> {
                hello = Optional.of(received);
                listener.onHello(this, received);
            }
            case PeerMessage.Ping ping -> send(new PeerMessage.Pong(ping.sequence()));
            case PeerMessage.Pong $ -> {
                /* handleRead has already updated the time of the last received frame */
            }
            default -> {
                lastUsedMillis = lastReceivedMillis;
                listener.onMessage(this, message);
            }
        }
        return !closed;
    }

    /** Receives the events of a connection. */
    interface Listener {
        void onHello(PeerConnection connection, PeerMessage.Hello hello);

        void onMessage(PeerConnection connection, PeerMessage message);

        void onMalformedFrame(PeerConnection connection, PoplarWharfException failure);

        void onClosed(PeerConnection connection);
    }
}
