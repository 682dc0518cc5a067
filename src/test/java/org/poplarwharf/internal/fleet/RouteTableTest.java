package org.poplarwharf.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private final RouteTable table =
            new RouteTable(List.of(route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/")));

    @Test
    void the_longest_prefix_of_the_hosts_routes_wins() {
        assertThat(table.find("a.example", "/x/y/z?q=/x/").map(Route::pathPrefix))
                .contains("/x/y/");
        assertThat(table.find("A.example:8080", "/x/z").map(Route::pathPrefix)).contains("/x/");
    }

    @Test
    void a_path_without_the_closing_slash_of_a_prefix_has_no_route() {
        assertThat(table.find("a.example", "/x")).isEmpty();
        assertThat(table.find("c.example", "/x/")).isEmpty();
    }

    @Test
    void a_split_route_divides_requests_by_weight_and_keeps_each_where_it_is() {
        Route split = new Route(
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
                false);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 2_000; i++) {
            String id = Long.toHexString(i * 0x9E3779B97F4A7C15L);
            counts.merge(split.serviceFor(id), 1, Integer::sum);
            assertThat(split.serviceFor(id)).isEqualTo(split.serviceFor(id));
        }

        assertThat(counts.get("s2")).isBetween(100, 300);
    }

    @Test
    void callers_leave_a_stream_after_the_longest_of_three_times() {
        Route stream = new Route(
                "r", "a", "/", RouteKind.STREAM, 15_000, 500, 400, 0, List.of(new Route.Destination("s", 1)), 1, true);

        assertThat(stream.patienceMillis()).isEqualTo(3_200);
    }

    private static Route route(String host, String prefix) {
        return new Route(
                prefix,
                host,
                prefix,
                RouteKind.REPEATABLE,
                1_000,
                100,
                0,
                0,
                List.of(new Route.Destination("s", 1)),
                2,
                false);
    }
}
