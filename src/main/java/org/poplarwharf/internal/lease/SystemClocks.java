package org.poplarwharf.internal.lease;

import java.util.function.LongSupplier;

/** The clocks of this process. Thread-safe if the given clock is. */
public record SystemClocks(LongSupplier steadyClock) implements LeaseClocks {
    @Override
    public long steadyMillis() {
        return steadyClock.getAsLong();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
