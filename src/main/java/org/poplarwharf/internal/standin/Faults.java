package org.poplarwharf.internal.standin;

import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * The faults that a stand-in shows at present. Belongs to one reactor thread.
 *
 * @param <F> a record of fault settings
 */
public final class Faults<F> {
    private final Class<F> type;
    private F current;
    private Consumer<F> listener = faults -> {};

    Faults(Class<F> type, F initial) {
        this.type = type;
        this.current = initial;
    }

    /** Returns the faults in effect. */
    public F get() {
        return current;
    }

    /** Replaces the faults; those that the stand-in does not accept change nothing. */
    public void set(F faults) {
        listener.accept(faults);
        current = faults;
    }

    void update(UnaryOperator<F> change) {
        set(change.apply(current));
    }

    void onChange(Consumer<F> newListener) {
        listener = newListener;
    }

    void setJson(byte[] json) {
        set(StandinJson.read(json, type));
    }
}
