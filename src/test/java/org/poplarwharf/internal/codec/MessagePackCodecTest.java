package org.poplarwharf.internal.codec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.plugins.ArtifactId;

class MessagePackCodecTest {
    private final MessagePackCodec<CellRecord> codec = new MessagePackCodec<>(CellRecord.class);

    @Test
    void an_encoded_record_decodes_to_an_equal_record() {
        CellRecord record = new CellRecord.LoadIntended(
                7,
                new CellRecord.Author("n1", 3),
                "gpu-1",
                "vm-1",
                ArtifactId.adapter("llama", "audit"),
                "v2",
                10,
                true,
                100,
                2);

        assertThat(codec.decode(codec.encode(record), "test")).isEqualTo(record);
    }

    @Property(tries = 200)
    void arbitrary_bytes_fail_only_with_malformed_message(@ForAll byte[] bytes) {
        PoplarWharfException failure =
                catchThrowableOfType(PoplarWharfException.class, () -> codec.decode(bytes, "test"));

        assertThat(failure.code()).isEqualTo(FailureCode.MALFORMED_MESSAGE);
    }
}
