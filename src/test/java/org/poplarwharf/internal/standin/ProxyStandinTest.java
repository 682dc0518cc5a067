package org.poplarwharf.internal.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.poplarwharf.support.Eventually.eventually;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promises;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.support.ReactorThread;
import org.poplarwharf.support.TestHttpClient;

class ProxyStandinTest {
    private static final Duration NEXT_TURN = Duration.ofMillis(1);
    private static final int SILENCE_MILLIS = 150;
    private static final int ANSWER_MILLIS = 10_000;

    private final ReactorThread thread = new ReactorThread();
    private SimpleServer echo;
    private ProxyStandin proxy;

    @BeforeEach
    void start() {
        echo = thread.call(() -> {
            SimpleServer server = SimpleServer.builder(thread.reactor(), this::echo)
                    .withListenAddress(new InetSocketAddress("127.0.0.1", 0))
                    .build();
            server.listen();
            return server;
        });
        String upstream = "127.0.0.1:" + echo.getBoundAddresses().getFirst().getPort();
        proxy = thread.call(() -> ProxyStandin.start(
                thread.reactor(),
                StandinAddresses.loopback(),
                List.of(ProxyStandin.Link.loopback("a", upstream), ProxyStandin.Link.loopback("b", upstream))));
    }

    @AfterEach
    void stop() {
        thread.run(() -> {
            proxy.stop();
            echo.close();
        });
        thread.close();
    }

    private void echo(ITcpSocket socket) {
        socket.read().whenResult(data -> {
            if (data == null) {
                ((TcpSocket) socket).close();
                return;
            }
            socket.write(data).whenResult(() -> echo(socket));
        });
    }

    private Socket connect(String link) throws IOException {
        InetSocketAddress address = StandinAddresses.parse(thread.call(() -> proxy.address(link)));
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(ANSWER_MILLIS);
        return socket;
    }

    /** Sets faults and waits for the loop's next turn, in which a listener that was closed lets its port go. */
    private void set(LinkFaults faults) {
        thread.run(() -> proxy.set("a", faults));
        thread.await(() -> Promises.delay(NEXT_TURN));
    }

    private static void send(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
    }

    private static void assertAnswers(Socket socket, int value) throws IOException {
        socket.setSoTimeout(ANSWER_MILLIS);
        send(socket, value);
        assertThat(socket.getInputStream().read()).isEqualTo(value);
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(SILENCE_MILLIS);
        assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        socket.setSoTimeout(ANSWER_MILLIS);
    }

    @Test
    void bytes_pass_and_a_close_is_told() throws IOException {
        try (Socket socket = connect("a")) {
            assertAnswers(socket, 1);
            socket.shutdownOutput();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        eventually(
                "the connection is closed",
                () -> thread.call(() -> proxy.states().getFirst().openConnections()) == 0);
    }

    @Test
    void new_connections_are_refused_and_later_taken_at_the_same_address() throws IOException {
        try (Socket open = connect("a")) {
            assertAnswers(open, 1);
            set(LinkFaults.refusing());

            assertThatThrownBy(() -> connect("a")).isInstanceOf(ConnectException.class);
            assertAnswers(open, 2);

            set(LinkFaults.pass());
            try (Socket next = connect("a")) {
                assertAnswers(next, 3);
            }
        }
    }

    @Test
    void a_reset_hits_every_connection_of_its_link_alone() throws IOException {
        try (Socket hit = connect("a");
                Socket other = connect("b")) {
            assertAnswers(hit, 1);
            assertAnswers(other, 1);

            thread.run(() -> proxy.reset("a"));

            assertThatThrownBy(() -> hit.getInputStream().read()).isInstanceOf(SocketException.class);
            assertAnswers(other, 2);
        }
    }

    @Test
    void an_open_connection_goes_silent_for_good_while_new_ones_work() throws IOException {
        try (Socket open = connect("a")) {
            assertAnswers(open, 1);
            thread.run(() -> proxy.silence("a"));

            send(open, 2);
            assertSilent(open);
            try (Socket next = connect("a")) {
                assertAnswers(next, 3);
            }
            set(LinkFaults.pass());
            send(open, 4);
            assertSilent(open);
        }
    }

    @Test
    void a_one_way_loss_loses_only_that_way() throws IOException {
        try (Socket socket = connect("a")) {
            assertAnswers(socket, 1);
            set(LinkFaults.silentToClient());
            send(socket, 2);
            assertSilent(socket);
        }
        try (Socket socket = connect("a")) {
            send(socket, 3);
            assertSilent(socket);
        }
        set(LinkFaults.silentToUpstream());
        try (Socket socket = connect("a")) {
            send(socket, 4);
            assertSilent(socket);
        }
    }

    @Test
    void held_bytes_come_whole_when_released() throws IOException {
        try (Socket socket = connect("a")) {
            assertAnswers(socket, 1);
            set(LinkFaults.holdingToClient());
            send(socket, 2);
            send(socket, 3);
            assertSilent(socket);

            set(LinkFaults.pass());

            assertThat(socket.getInputStream().read()).isEqualTo(2);
            assertThat(socket.getInputStream().read()).isEqualTo(3);
            assertAnswers(socket, 4);
        }
    }

    @Test
    void a_delay_is_added_both_ways() throws IOException {
        set(LinkFaults.delayed(60));
        try (Socket socket = connect("a")) {
            long start = System.nanoTime();
            assertAnswers(socket, 1);
            assertThat((System.nanoTime() - start) / 1_000_000).isGreaterThanOrEqualTo(115);
        }
    }

    @Test
    void faults_are_set_over_http_and_an_unknown_link_is_refused() throws IOException {
        TestHttpClient http = new TestHttpClient(thread);
        String pass = "{\"silent\":false,\"hold\":false,\"delayMillis\":0}";
        String faults = "{\"links\":[{\"name\":\"%s\",\"faults\":{\"refuse\":true,\"toUpstream\":" + pass
                + ",\"toClient\":" + pass + "}}]}";
        String url = proxy.adminAddress() + "/faults";

        assertThat(http.put(url, faults.formatted("bogus")).status()).isEqualTo(400);
        assertThat(http.put(url, faults.formatted("a")).status()).isEqualTo(200);

        assertThatThrownBy(() -> connect("a")).isInstanceOf(ConnectException.class);
        assertThat(http.post(proxy.adminAddress() + "/links/b/reset", "").status())
                .isEqualTo(200);
        assertThat(http.get(proxy.adminAddress() + "/journal").body()).contains("FAULTS_SET");
    }
}
