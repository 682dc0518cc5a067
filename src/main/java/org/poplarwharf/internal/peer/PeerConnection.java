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
 * One TCP connection to another node: frames of a 4-byte length and a MessagePack message.
 *
 * <p>Invariant: the events see hello first, then messages in order, then {@code closed} exactly once; nothing follows
 * it. Belongs to the control thread.
 */
final class PeerConnection {
    private static final MessagePackCodec<PeerMessage> CODEC = new MessagePackCodec<>(PeerMessage.class);

    private final ITcpSocket socket;
    private final Optional<String> dialedAddress;
    private final PeerOptions options;
    private final MonotonicClock clock;
    private final PeerTrafficMeter traffic;
    private final Listener events;
    private final BinaryChannelSupplier input;
    private final Deque<ByteBuf> queue = new ArrayDeque<>();
    private final long openedMillis;
    private int queuedBytes;
    private boolean writing;
    private boolean closed;
    private long heardMillis;
    private long pingedMillis;
    private long usedMillis;
    private Optional<PeerMessage.Hello> hello = Optional.empty();

    PeerConnection(
            ITcpSocket socket,
            Optional<String> dialledAddress,
            PeerOptions options,
            MonotonicClock clock,
            PeerTrafficMeter traffic,
            Listener events) {
        this.socket = socket;
        this.dialedAddress = dialledAddress;
        this.options = options;
        this.clock = clock;
        this.traffic = traffic;
        this.events = events;
        this.openedMillis = clock.nowMillis();
        this.heardMillis = openedMillis;
        this.usedMillis = openedMillis;
        this.input = BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(socket));
    }

    /** Sends the hello and reads until the link closes. */
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

    /** Tells, at most once in each ping interval, that a ping should be sent. */
    boolean startPingIfDue() {
        long nowMillis = clock.nowMillis();
        if (nowMillis - pingedMillis < options.pingIntervalMillis()) {
            return false;
        }
        pingedMillis = nowMillis;
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
        return clock.nowMillis() - heardMillis;
    }

    /** Returns how long ago the last message passed, signs of life aside. */
    long idleMillis() {
        return clock.nowMillis() - usedMillis;
    }

    boolean send(PeerMessage message) {
        if (closed) {
            return false;
        }
        if (!(message instanceof PeerMessage.Ping) && !(message instanceof PeerMessage.Pong)) {
            usedMillis = clock.nowMillis();
        }
        byte[] bytes = CODEC.encode(message);
        if (bytes.length > options.maxFrameBytes()) {
            return false;
        }
        if (queuedBytes + bytes.length > options.maxQueuedBytes()) {
            close();
            return false;
        }
        queuedBytes += bytes.length + Integer.BYTES;
        queue.add(frame(bytes));
        traffic.sent(message, bytes.length + Integer.BYTES);
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
        queue.forEach(ByteBuf::recycle);
        queue.clear();
        events.onClosed(this);
    }

    private static ByteBuf frame(byte[] bytes) {
        ByteBuf buf = ByteBufPool.allocate(bytes.length + Integer.BYTES);
        buf.writeInt(bytes.length);
        buf.put(bytes);
        return buf;
    }

    private void writeNext() {
        if (writing || closed || queue.isEmpty()) {
            return;
        }
        writing = true;
        ByteBuf buf = queue.poll();
        int sizeBytes = buf.readRemaining();
        socket.write(buf).whenComplete(($, e) -> written(sizeBytes, e));
    }

    private void written(int sizeBytes, Exception e) {
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
                .whenComplete(this::frameRead);
    }

    private void frameRead(ByteBuf frame, Exception e) {
        if (closed) {
            if (frame != null) {
                frame.recycle();
            }
            return;
        }
        if (e != null) {
            failed(e);
            return;
        }
        heardMillis = clock.nowMillis();
        if (take(frame.asArray())) {
            readNext();
        }
    }

    private void failed(Exception e) {
        if (e instanceof MalformedDataException && !(e instanceof TruncatedDataException)) {
            events.onMalformedFrame(this, Reporter.malformedMessage(socket.toString(), e));
        }
        close();
    }

    private boolean take(byte[] bytes) {
        PeerMessage message;
        try {
            message = CODEC.decode(bytes, "a node");
        } catch (PoplarWharfException e) {
            events.onMalformedFrame(this, e);
            close();
            return false;
        }
        traffic.received(message, bytes.length + Integer.BYTES);
        try {
            return takeMessage(message);
        } catch (RuntimeException e) {
            events.onMalformedFrame(this, Reporter.malformedMessage("a node whose message lacks a field", e));
            close();
            return false;
        }
    }

    private boolean takeMessage(PeerMessage message) {
        boolean first = hello.isEmpty();
        if (first != message instanceof PeerMessage.Hello) {
            events.onMalformedFrame(this, Reporter.malformedMessage("a node that did not say hello once", null));
            close();
            return false;
        }
        switch (message) {
            case PeerMessage.Hello received -> {
                hello = Optional.of(received);
                events.onHello(this, received);
            }
            case PeerMessage.Ping ping -> send(new PeerMessage.Pong(ping.sequence()));
            case PeerMessage.Pong $ -> {
                /* reading it has already counted as a sign of life */
            }
            default -> {
                usedMillis = heardMillis;
                events.onMessage(this, message);
            }
        }
        return !closed;
    }

    /** Hears what happens on a link. */
    interface Listener {
        void onHello(PeerConnection link, PeerMessage.Hello hello);

        void onMessage(PeerConnection link, PeerMessage message);

        void onMalformedFrame(PeerConnection link, PoplarWharfException failure);

        void onClosed(PeerConnection link);
    }
}
