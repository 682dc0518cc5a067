package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Header fields that are counted while they are read, so that a caller cannot make the node hold very many short ones.
 *
 * <p>Invariant: a field that is not admitted is not added. Confined to the event loop.
 */
final class CountedHeaders extends DefaultHttpHeaders {
    private final FieldCounter counter;
    private boolean isRead;

    /** Admits a field, or throws an exception. */
    interface FieldCounter {
        void admit(CharSequence name, CharSequence value);
    }

    CountedHeaders(FieldCounter counter) {
        this.counter = counter;
    }

    /** Called when all fields have been read. Those that the node adds itself are not counted. */
    void endReading() {
        isRead = true;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (!isRead && value instanceof CharSequence text) {
            counter.admit(name, text);
        }
        return super.add(name, value);
    }
}
