package org.poplarwharf.internal.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineSettings;
import org.poplarwharf.internal.standin.EngineStandin;
import org.poplarwharf.internal.standin.LinkFaults;
import org.poplarwharf.internal.standin.LogSettings;
import org.poplarwharf.internal.standin.LogStandin;
import org.poplarwharf.internal.standin.ProxyStandin;
import org.poplarwharf.internal.standin.StandinAddresses;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect.Order;
import org.poplarwharf.plugins.EngineDialect.OrderKind;
import org.poplarwharf.plugins.EngineDialect.OrderReply;
import org.poplarwharf.support.ReactorThread;

class SilentConnectionTest {
    private static final byte[] PAYLOAD = {1};

    private final ReactorThread thread = new ReactorThread();
    private final LogStandin log =
            thread.call(() -> LogStandin.start(thread.reactor(), StandinAddresses.loopback(), LogSettings.defaults()));
    private final EngineStandin engine = thread.call(() -> EngineStandin.start(
            thread.reactor(), StandinAddresses.loopback(), EngineSettings.defaults(Optional.empty())));
    private final ProxyStandin proxy = thread.call(() -> ProxyStandin.start(
            thread.reactor(),
            StandinAddresses.loopback(),
            List.of(
                    ProxyStandin.LinkSpec.loopback("log", log.address()),
                    ProxyStandin.LinkSpec.loopback("engine", engine.address()))));
    private final HttpEventLog client = thread.call(() -> new HttpEventLog(thread.reactor(), proxy.address("log")));
    private final HttpEngineDialect dialect = thread.call(() -> new HttpEngineDialect(thread.reactor()));

    @AfterEach
    void stop() {
        thread.run(() -> {
            proxy.stop();
            log.stop();
            engine.stop();
        });
        thread.close();
    }

    private void set(String link, LinkFaults faults) {
        thread.run(() -> proxy.setFaults(link, faults));
    }

    private FailureCode codeOf(Runnable call) {
        return catchThrowableOfType(PoplarWharfException.class, call::run).code();
    }

    private long append() {
        return thread.await(() -> client.append("s", PAYLOAD));
    }

    private OrderReply order() {
        Order order = new Order(OrderKind.LOAD, ArtifactId.model("m"), "v1", 1, 1);
        return thread.await(() -> dialect.sendOrder(proxy.address("engine"), order));
    }

    @Test
    void an_append_into_silence_is_unknown_in_bounded_time_and_the_next_call_works() {
        assertThat(append()).isZero();
        set("log", LinkFaults.silentToClient());

        assertThat(codeOf(this::append)).isEqualTo(FailureCode.LOG_OUTCOME_UNKNOWN);

        set("log", LinkFaults.none());
        assertThat(append()).isEqualTo(2);
    }

    @Test
    void a_silenced_open_connection_harms_no_later_call() {
        append();
        thread.run(() -> proxy.silenceConnections("log"));

        assertThat(append()).isEqualTo(1);
        assertThat(thread.await(() -> client.read("s", 0, 10, 0)).entries()).hasSize(2);
    }

    @Test
    void a_waiting_read_into_silence_ends_in_bounded_time() {
        set("log", LinkFaults.silent());

        assertThat(codeOf(() -> thread.await(() -> client.read("s", 0, 10, 100))))
                .isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void an_order_whose_answer_is_lost_fails_and_arrives_once() {
        set("engine", LinkFaults.silentToClient());

        assertThat(codeOf(this::order)).isEqualTo(FailureCode.TARGET_FAILED);

        assertThat(thread.call(() -> engine.journal().events()).stream()
                        .filter(event -> event instanceof EngineEvent.OrderReceived))
                .hasSize(1);
        set("engine", LinkFaults.none());
        assertThat(order()).isEqualTo(new OrderReply.Accepted());
    }

    @Test
    void an_order_that_found_no_connection_says_so() {
        set("engine", LinkFaults.refusing());

        assertThat(codeOf(this::order)).isEqualTo(FailureCode.TARGET_UNREACHABLE);
    }
}
