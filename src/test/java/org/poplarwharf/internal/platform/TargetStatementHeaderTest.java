package org.poplarwharf.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.NumericChars;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.internal.gateway.ResponseTraits;

class TargetStatementHeaderTest {
    private static final long MAX_MILLIS = 1_000_000_000L;

    private final PlatformHeaderCodec codec = new PlatformHeaderCodec();

    private ResponseTraits read(int status, String name, String... values) {
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        headers.add(name, List.of(values));
        return codec.readResponse(status, headers);
    }

    @ParameterizedTest
    @CsvSource({"2,2000", "0.25,250", "0,0", "' 3 ',3000", "1e300,1000000000", "0.0001,1"})
    void pause_is_read_in_seconds_with_fractions(String value, long millis) {
        assertThat(read(503, "Retry-After", value).pauseMillis()).isEqualTo(OptionalLong.of(millis));
    }

    @ParameterizedTest
    @ValueSource(strings = {"-1", "", "soon", "NaN", "Infinity", "Wed, 21 Oct 2026 07:28:00 GMT"})
    void other_values_state_no_pause(String value) {
        assertThat(read(503, "Retry-After", value).pauseMillis()).isEmpty();
    }

    @Test
    void longest_of_several_pauses_counts_and_other_statuses_state_none() {
        assertThat(read(503, "retry-after", "1", "x", "4").pauseMillis()).isEqualTo(OptionalLong.of(4_000));
        assertThat(read(429, "Retry-After", "1").pauseMillis()).isEmpty();
    }

    @Test
    void leaving_is_stated_by_the_value_one_except_by_another_target() {
        assertThat(read(200, "server-leaving", " 1 ").targetLeaving()).isTrue();
        assertThat(read(500, "Server-Leaving", "0", "1").targetLeaving()).isTrue();
        assertThat(read(200, "Server-Leaving", "true").targetLeaving()).isFalse();
        assertThat(read(421, "Server-Leaving", "1").targetLeaving()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"4,4", "0.5,0.5", "0,0", "' 3 ',3"})
    void brittle_target_states_a_decimal_number(String value, double declinesPerSecond) {
        assertThat(read(503, "server-brittle", value).declinesPerSecond())
                .isEqualTo(OptionalDouble.of(declinesPerSecond));
        assertThat(read(421, "Server-Brittle", value).declinesPerSecond()).isEmpty();
    }

    @Test
    void lowest_of_several_numbers_of_a_brittle_target_counts_and_others_state_nothing() {
        assertThat(read(200, "Server-Brittle", "7", "x", "2").declinesPerSecond())
                .isEqualTo(OptionalDouble.of(2));
        assertThat(read(200, "Server-Brittle", "-1", "", "many", "NaN").declinesPerSecond())
                .isEmpty();
    }

    @Property(tries = 500)
    void any_values_are_read_and_pauses_are_bounded(
            @ForAll @Size(max = 3) List<@AlphaChars @NumericChars @Chars({'-', '+', '.', ',', ' '}) String> values) {
        String[] texts = values.toArray(String[]::new);
        assertThat(read(503, "Retry-After", texts).pauseMillis().orElse(0)).isBetween(0L, MAX_MILLIS);
        assertThat(read(200, "Server-Leaving", texts).targetLeaving())
                .isEqualTo(values.stream().map(String::strip).anyMatch("1"::equals));
    }
}
