package org.poplarwharf.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private final RouteTable routeTable =
            new RouteTable(List.of(route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/")));

    @Test
    void route_with_longest_matching_path_prefix_of_the_host_is_found() {
        assertThat(routeTable.find("a.example", "/x/y/z?q=/x/").map(Route::pathPrefix))
                .contains("/x/y/");
        assertThat(routeTable.find("A.example:8080", "/x/z").map(Route::pathPrefix))
                .contains("/x/");
    }

    @Test
    void path_without_trailing_slash_of_prefix_and_unknown_host_have_no_route() {
        assertThat(routeTable.find("a.example", "/x")).isEmpty();
        assertThat(routeTable.find("c.example", "/x/")).isEmpty();
    }

    @Test
    void route_with_several_destinations_selects_service_by_weight_and_same_service_for_same_request() {
        Route weighted = new Route(
                "r",
                "a",
                "/",
                RouteKind.ONCE,
                1_000,
                100,
                0,
                0,
                List.of(new Route.Destination("s1", 90), new Route.Destination("s2", 10)),
                1,
                false,
                false);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 2_000; i++) {
            String requestId = Long.toHexString(i * 0x9E3779B97F4A7C15L);
            counts.merge(weighted.serviceFor(requestId), 1, Integer::sum);
            assertThat(weighted.serviceFor(requestId)).isEqualTo(weighted.serviceFor(requestId));
        }

        assertThat(counts.get("s2")).isBetween(100, 300);
    }

    @Test
    void caller_timeout_of_a_stream_is_the_longest_of_minimum_objectives_and_gaps() {
        Route stream = new Route(
                "r",
                "a",
                "/",
                RouteKind.STREAM,
                15_000,
                500,
                400,
                0,
                List.of(new Route.Destination("s", 1)),
                1,
                true,
                false);

        assertThat(stream.callerTimeoutMillis()).isEqualTo(3_200);
    }

    private static Route route(String host, String pathPrefix) {
        return new Route(
                pathPrefix,
                host,
                pathPrefix,
                RouteKind.REPEATABLE,
                1_000,
                100,
                0,
                0,
                List.of(new Route.Destination("s", 1)),
                2,
                false,
                false);
    }
}
