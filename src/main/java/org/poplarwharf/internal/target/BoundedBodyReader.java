package org.poplarwharf.internal.target;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.poplarwharf.PoplarWharfException;

/**
 * Reads a result body into memory and fails if it exceeds a size limit.
 *
 * <p>Confined to one reactor thread.
 */
public final class BoundedBodyReader {
    private final ChannelSupplier<ByteBuf> stream;
    private final long limitBytes;
    private final UnaryOperator<Promise<ByteBuf>> readGuard;
    private final Supplier<PoplarWharfException> tooLargeFailure;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final SettablePromise<byte[]> result = new SettablePromise<>();

    private BoundedBodyReader(
            ChannelSupplier<ByteBuf> stream,
            long limitBytes,
            UnaryOperator<Promise<ByteBuf>> readGuard,
            Supplier<PoplarWharfException> tooLargeFailure) {
        this.stream = stream;
        this.limitBytes = limitBytes;
        this.readGuard = readGuard;
        this.tooLargeFailure = tooLargeFailure;
    }

    /** Returns all buffer of the stream. Each read is passed through {@code readGuard}, which may add a timeout. */
    public static Promise<byte[]> read(
            ChannelSupplier<ByteBuf> stream,
            long limitBytes,
            UnaryOperator<Promise<ByteBuf>> readGuard,
            Supplier<PoplarWharfException> tooLargeFailure) {
        BoundedBodyReader reader = new BoundedBodyReader(stream, limitBytes, readGuard, tooLargeFailure);
        reader.readNext();
        return reader.result;
    }

    private void readNext() {
        readGuard.apply(stream.get()).async().whenComplete(this::onRead);
    }

    private void onRead(ByteBuf buf, Exception e) {
        if (e != null) {
            result.setException(e);
            return;
        }
        if (buf == null) {
            result.set(buffer.toByteArray());
            return;
        }
        buffer.writeBytes(buf.asArray());
        if (buffer.size() > limitBytes) {
            PoplarWharfException failure = tooLargeFailure.get();
            stream.closeEx(failure);
            result.setException(failure);
            return;
        }
        readNext();
    }
}
