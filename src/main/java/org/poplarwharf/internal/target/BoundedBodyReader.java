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
 * Reads a whole body up to a bound.
 *
 * <p>Belongs to one reactor thread.
 */
public final class BoundedBodyReader {
    private final ChannelSupplier<ByteBuf> stream;
    private final long limitBytes;
    private final UnaryOperator<Promise<ByteBuf>> guard;
    private final Supplier<PoplarWharfException> tooLarge;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final SettablePromise<byte[]> whole = new SettablePromise<>();

    private BoundedBodyReader(
            ChannelSupplier<ByteBuf> stream,
            long limitBytes,
            UnaryOperator<Promise<ByteBuf>> guard,
            Supplier<PoplarWharfException> tooLarge) {
        this.stream = stream;
        this.limitBytes = limitBytes;
        this.guard = guard;
        this.tooLarge = tooLarge;
    }

    /** Returns the bytes of a stream; each read goes through the guard. */
    public static Promise<byte[]> read(
            ChannelSupplier<ByteBuf> stream,
            long limitBytes,
            UnaryOperator<Promise<ByteBuf>> guard,
            Supplier<PoplarWharfException> tooLarge) {
        BoundedBodyReader reader = new BoundedBodyReader(stream, limitBytes, guard, tooLarge);
        reader.next();
        return reader.whole;
    }

    private void next() {
        guard.apply(stream.get()).async().whenComplete(this::taken);
    }

    private void taken(ByteBuf buf, Exception e) {
        if (e != null) {
            whole.setException(e);
            return;
        }
        if (buf == null) {
            whole.set(bytes.toByteArray());
            return;
        }
        bytes.writeBytes(buf.asArray());
        if (bytes.size() > limitBytes) {
            PoplarWharfException failure = tooLarge.get();
            stream.closeEx(failure);
            whole.setException(failure);
            return;
        }
        next();
    }
}
