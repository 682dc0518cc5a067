package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.RouteKind;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.stream.StreamOrigins;

/** The events of an attempt that is sent at 1,000 ms; pauses up to 300 ms are in time. */
class EventProgressTest {
    private static final Target TARGET = new Target(
            "t",
            1,
            1,
            "lm",
            new InetSocketAddress("127.0.0.1", 1),
            "z1",
            8,
            false,
            OptionalLong.empty(),
            "v1",
            List.of(),
            Set.of(),
            Set.of());
    private static final Route ROUTE = new Route(
            "r",
            "h",
            "/",
            RouteKind.STREAM,
            9_000,
            500,
            300,
            0,
            List.of(new Route.Destination("lm", 1)),
            1,
            false,
            false);
    private static final RequestTraits TRAITS = new RequestTraits(
            "q",
            OptionalLong.empty(),
            Optional.empty(),
            Optional.empty(),
            0,
            0,
            List.of(),
            OptionalLong.empty(),
            Optional.empty());

    private final Attempt attempt = new Attempt("k", TARGET, Optional.empty(), 1_000, null);
    private final EventProgress progress = new EventProgress(
            new StreamContinuity(new StreamOrigins(() -> 0, service -> Optional.empty()), ROUTE, TRAITS, "lm"),
            ROUTE.maxEventGapMillis());

    @Test
    void reports_the_first_event_and_the_first_late_pause_once() {
        assertThat(progress.recordEvents(attempt, 1_080))
                .get()
                .isInstanceOfSatisfying(
                        RunOutcome.FirstEventReceived.class,
                        first -> assertThat(first.firstEventMillis()).isEqualTo(80));
        assertThat(progress.recordEvents(attempt, 1_380)).isEmpty();
        assertThat(progress.recordEvents(attempt, 1_690)).contains(new RunOutcome.LatePause(310));
        assertThat(progress.recordEvents(attempt, 2_500)).isEmpty();
        assertThat(progress.recordEnd(attempt, 3_500)).isEmpty();
    }

    @Test
    void pause_in_which_the_caller_read_nothing_is_not_the_targets() {
        progress.recordEvents(attempt, 1_080);
        progress.recordReadingPaused();

        assertThat(progress.recordEvents(attempt, 2_000)).isEmpty();
    }

    @Test
    void next_attempt_starts_anew() {
        progress.recordEvents(attempt, 1_080);
        progress.restart();

        assertThat(progress.recordEvents(attempt, 2_000)).get().isInstanceOf(RunOutcome.FirstEventReceived.class);
    }
}
