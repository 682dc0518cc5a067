package org.poplarwharf.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.http.PooledHttpClient;
import org.poplarwharf.internal.topic.KeyedLog;

/** Checks that the era of each response is compared before the rest of it is used. */
class PlatformKeyedLogTest {
    private static final String PAGE = "{\"items\":[],\"more\":false,\"end\":7}";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    private final List<String> restores = new ArrayList<>();
    private final PlatformKeyedLog log;
    private volatile String era = "4";
    private volatile int status = 200;

    PlatformKeyedLogTest() throws IOException {
        server.createContext("/", exchange -> {
            byte[] body = PAGE.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Store-Era", era);
            exchange.sendResponseHeaders(status, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        log = new PlatformKeyedLog(new PooledHttpClient(group.next(), (peer, reason) -> {}), server.getAddress());
        log.onRestored((previousEra, latestEra) -> restores.add(previousEra + " to " + latestEra));
    }

    @AfterEach
    void stop() {
        server.stop(0);
        group.shutdownGracefully();
    }

    private static <T> T await(Consumer<Consumer<T>> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        call.accept(result::complete);
        return result.join();
    }

    private KeyedLog.LatestResult readLatest() {
        return await(callback -> log.readLatest("t", Optional.empty(), callback));
    }

    private KeyedLog.AppendResult appendAt(KeyedLog.Position end) {
        return await(callback -> log.appendAt("t", end, "k", new byte[] {1}, callback));
    }

    @Test
    void response_of_an_earlier_era_is_not_used() {
        readLatest();
        era = "3";

        assertThat(readLatest()).isInstanceOf(KeyedLog.Unavailable.class);
        assertThat(appendAt(new KeyedLog.Position(4, 7))).isInstanceOf(KeyedLog.OutcomeUnknown.class);
        assertThat(restores).isEmpty();
    }

    @Test
    void position_of_an_earlier_era_is_reported_as_restored_whatever_the_status() {
        KeyedLog.Position before = ((KeyedLog.Page) readLatest()).end();
        era = "5";
        for (int each : new int[] {200, 410, 412, 503}) {
            status = each;
            assertThat(appendAt(before)).isInstanceOf(KeyedLog.Restored.class);
            assertThat(PlatformKeyedLogTest.<KeyedLog.ReadResult>await(callback -> log.read("t", before, 0, callback)))
                    .isInstanceOf(KeyedLog.Restored.class);
        }

        assertThat(restores).containsExactly("4 to 5");
    }

    @Test
    void append_at_a_position_of_the_current_era_is_appended() {
        KeyedLog.Position end = ((KeyedLog.Page) readLatest()).end();

        assertThat(appendAt(end)).isEqualTo(new KeyedLog.Appended(7));
    }
}
