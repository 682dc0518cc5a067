package org.poplarwharf.internal.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.state.CellRecord;

class ClaimTrackerTest {
    private static final long KEY_VALIDITY_MILLIS = TimeUnit.HOURS.toMillis(1);

    private long nowMillis;

    @Test
    void claims_recorded_by_a_previous_holder_expire_with_their_keys() {
        InMemoryRecordStream stream = new InMemoryRecordStream();
        stream.commit(new CellRecord.CallClaimed("k", "old-1", new CellRecord.Author("old", 1), "f"), 1_000);
        ClaimTracker tracker = new ClaimTracker(() -> nowMillis, stream, KEY_VALIDITY_MILLIS);

        assertThat(tracker.lastExpiredOffset()).isEmpty();
        nowMillis += KEY_VALIDITY_MILLIS;

        assertThat(tracker.lastExpiredOffset()).hasValue(stream.appliedOffset());
    }
}
