package org.poplarwharf.internal.cell;

/**
 * Predicts how long a load takes from those seen before, near copies apart from the weight store.
 *
 * <p>Belongs to the control thread.
 */
final class LoadTimeEstimate {
    private static final double WEIGHT_OF_NEW = 0.3;
    private static final double FIRST_BYTES_PER_MILLI = 1_000_000;

    private double storeBytesPerMilli = FIRST_BYTES_PER_MILLI;
    private double nearBytesPerMilli = FIRST_BYTES_PER_MILLI;

    void loaded(long sizeBytes, long millis, boolean near) {
        double seen = (double) sizeBytes / Math.max(1, millis);
        if (near) {
            nearBytesPerMilli += WEIGHT_OF_NEW * (seen - nearBytesPerMilli);
        } else {
            storeBytesPerMilli += WEIGHT_OF_NEW * (seen - storeBytesPerMilli);
        }
    }

    long millis(long sizeBytes, boolean near) {
        return (long) Math.ceil(sizeBytes / (near ? nearBytesPerMilli : storeBytesPerMilli));
    }
}
