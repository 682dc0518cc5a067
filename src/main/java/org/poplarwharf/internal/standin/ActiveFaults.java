package org.poplarwharf.internal.standin;

import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * The faults that a stand-in currently injects. Confined to one reactor thread.
 *
 * @param <F> the record type of the fault settings
 */
public final class ActiveFaults<F> {
    private final Class<F> type;
    private F current;
    private Consumer<F> listener = faults -> {};

    ActiveFaults(Class<F> type, F initial) {
        this.type = type;
        this.current = initial;
    }

    /** Returns the current faults. */
    public F get() {
        return current;
    }

    /** Replaces the faults. Leaves them unchanged if the stand-in's listener rejects the new ones with an exception. */
    public void set(F faults) {
        listener.accept(faults);
        current = faults;
    }

    void update(UnaryOperator<F> change) {
        set(change.apply(current));
    }

    void onChange(Consumer<F> changeListener) {
        listener = changeListener;
    }

    void setJson(byte[] json) {
        set(StandinJson.read(json, type));
    }
}
