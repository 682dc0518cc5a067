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

/**
 * Guards against calls that hang, or are sent twice, if a connection stays open but stops delivering data. A proxy between
 * client and stand-in drops the bytes in one or both directions.
 */
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
    private final HttpEventLog logClient = thread.call(() -> new HttpEventLog(thread.reactor(), proxy.address("log")));
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

    private void setFaults(String link, LinkFaults faults) {
        thread.run(() -> proxy.setFaults(link, faults));
    }

    private FailureCode codeOf(Runnable call) {
        return catchThrowableOfType(PoplarWharfException.class, call::run).code();
    }

    private long append() {
        return thread.await(() -> logClient.append("s", PAYLOAD));
    }

    private OrderReply sendOrder() {
        Order order = new Order(OrderKind.LOAD, ArtifactId.model("m"), "v1", 1, 1);
        return thread.await(() -> dialect.sendOrder(proxy.address("engine"), order));
    }

    @Test
    void an_append_without_a_response_is_an_unknown_outcome_within_the_timeout_and_the_next_append_succeeds() {
        assertThat(append()).isZero();
        setFaults("log", LinkFaults.silentToClient());

        assertThat(codeOf(this::append)).isEqualTo(FailureCode.LOG_OUTCOME_UNKNOWN);

        setFaults("log", LinkFaults.none());
        assertThat(append()).isEqualTo(2);
    }

    @Test
    void an_open_connection_that_falls_silent_does_not_affect_later_calls() {
        append();
        thread.run(() -> proxy.silenceConnections("log"));

        assertThat(append()).isEqualTo(1);
        assertThat(thread.await(() -> logClient.read("s", 0, 10, 0)).entries()).hasSize(2);
    }

    @Test
    void a_waiting_read_on_a_silent_connection_fails_within_the_timeout() {
        setFaults("log", LinkFaults.silent());

        assertThat(codeOf(() -> thread.await(() -> logClient.read("s", 0, 10, 100))))
                .isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void an_order_whose_response_is_lost_fails_and_is_received_once() {
        setFaults("engine", LinkFaults.silentToClient());

        assertThat(codeOf(this::sendOrder)).isEqualTo(FailureCode.TARGET_FAILED);

        assertThat(thread.call(() -> engine.journal().events()).stream()
                        .filter(event -> event instanceof EngineEvent.OrderReceived))
                .hasSize(1);
        setFaults("engine", LinkFaults.none());
        assertThat(sendOrder()).isEqualTo(new OrderReply.Accepted());
    }

    @Test
    void an_order_on_a_refused_connection_fails_as_unreachable() {
        setFaults("engine", LinkFaults.refusing());

        assertThat(codeOf(this::sendOrder)).isEqualTo(FailureCode.TARGET_UNREACHABLE);
    }
}
