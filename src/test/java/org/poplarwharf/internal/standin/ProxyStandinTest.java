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
    private static final Duration NEXT_LOOP_ITERATION = Duration.ofMillis(1);
    private static final int SILENCE_CHECK_MILLIS = 150;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final ReactorThread thread = new ReactorThread();
    private SimpleServer echoServer;
    private ProxyStandin proxy;

    @BeforeEach
    void start() {
        echoServer = thread.call(() -> {
            SimpleServer server = SimpleServer.builder(thread.reactor(), this::echoAll)
                    .withListenAddress(new InetSocketAddress("127.0.0.1", 0))
                    .build();
            server.listen();
            return server;
        });
        String upstream =
                "127.0.0.1:" + echoServer.getBoundAddresses().getFirst().getPort();
        proxy = thread.call(() -> ProxyStandin.start(
                thread.reactor(),
                StandinAddresses.loopback(),
                List.of(ProxyStandin.LinkSpec.loopback("a", upstream), ProxyStandin.LinkSpec.loopback("b", upstream))));
    }

    @AfterEach
    void stop() {
        thread.run(() -> {
            proxy.stop();
            echoServer.close();
        });
        thread.close();
    }

    private void echoAll(ITcpSocket socket) {
        socket.read().whenResult(data -> {
            if (data == null) {
                ((TcpSocket) socket).close();
                return;
            }
            socket.write(data).whenResult(() -> echoAll(socket));
        });
    }

    private Socket connect(String link) throws IOException {
        InetSocketAddress address = StandinAddresses.parse(thread.call(() -> proxy.address(link)));
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /** Sets faults and waits for the next iteration of the event loop, in which a closed listener releases its port. */
    private void setFaults(LinkFaults faults) {
        thread.run(() -> proxy.setFaults("a", faults));
        thread.await(() -> Promises.delay(NEXT_LOOP_ITERATION));
    }

    private static void send(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
    }

    private static void assertEchoes(Socket socket, int value) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        send(socket, value);
        assertThat(socket.getInputStream().read()).isEqualTo(value);
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(SILENCE_CHECK_MILLIS);
        assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    @Test
    void data_and_close_are_forwarded() throws IOException {
        try (Socket socket = connect("a")) {
            assertEchoes(socket, 1);
            socket.shutdownOutput();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        eventually(
                "the connection is closed",
                () -> thread.call(() -> proxy.linkStates().getFirst().openConnections()) == 0);
    }

    @Test
    void link_refuses_new_connections_and_later_accepts_them_at_the_same_address() throws IOException {
        try (Socket openSocket = connect("a")) {
            assertEchoes(openSocket, 1);
            setFaults(LinkFaults.refusing());

            assertThatThrownBy(() -> connect("a")).isInstanceOf(ConnectException.class);
            assertEchoes(openSocket, 2);

            setFaults(LinkFaults.none());
            try (Socket newSocket = connect("a")) {
                assertEchoes(newSocket, 3);
            }
        }
    }

    @Test
    void reset_affects_only_connections_of_its_link() throws IOException {
        try (Socket resetSocket = connect("a");
                Socket otherSocket = connect("b")) {
            assertEchoes(resetSocket, 1);
            assertEchoes(otherSocket, 1);

            thread.run(() -> proxy.resetConnections("a"));

            assertThatThrownBy(() -> resetSocket.getInputStream().read()).isInstanceOf(SocketException.class);
            assertEchoes(otherSocket, 2);
        }
    }

    @Test
    void silenced_connection_stays_silent_while_new_connections_work() throws IOException {
        try (Socket openSocket = connect("a")) {
            assertEchoes(openSocket, 1);
            thread.run(() -> proxy.silenceConnections("a"));

            send(openSocket, 2);
            assertSilent(openSocket);
            try (Socket newSocket = connect("a")) {
                assertEchoes(newSocket, 3);
            }
            setFaults(LinkFaults.none());
            send(openSocket, 4);
            assertSilent(openSocket);
        }
    }

    @Test
    void data_loss_in_one_direction_leaves_the_connection_silent_to_the_client() throws IOException {
        try (Socket socket = connect("a")) {
            assertEchoes(socket, 1);
            setFaults(LinkFaults.silentToClient());
            send(socket, 2);
            assertSilent(socket);
        }
        try (Socket socket = connect("a")) {
            send(socket, 3);
            assertSilent(socket);
        }
        setFaults(LinkFaults.silentToUpstream());
        try (Socket socket = connect("a")) {
            send(socket, 4);
            assertSilent(socket);
        }
    }

    @Test
    void held_bytes_arrive_complete_after_release() throws IOException {
        try (Socket socket = connect("a")) {
            assertEchoes(socket, 1);
            setFaults(LinkFaults.holdingToClient());
            send(socket, 2);
            send(socket, 3);
            assertSilent(socket);

            setFaults(LinkFaults.none());

            assertThat(socket.getInputStream().read()).isEqualTo(2);
            assertThat(socket.getInputStream().read()).isEqualTo(3);
            assertEchoes(socket, 4);
        }
    }

    @Test
    void delay_is_added_in_both_directions() throws IOException {
        setFaults(LinkFaults.delayed(60));
        try (Socket socket = connect("a")) {
            long start = System.nanoTime();
            assertEchoes(socket, 1);
            assertThat((System.nanoTime() - start) / 1_000_000).isGreaterThanOrEqualTo(115);
        }
    }

    @Test
    void faults_are_set_over_http_and_an_unknown_link_is_rejected() throws IOException {
        TestHttpClient http = new TestHttpClient(thread);
        String noFaults = "{\"silent\":false,\"hold\":false,\"delayMillis\":0}";
        String faults = "{\"links\":[{\"name\":\"%s\",\"faults\":{\"refuse\":true,\"toUpstream\":" + noFaults
                + ",\"toClient\":" + noFaults + "}}]}";
        String url = proxy.adminAddress() + "/faults";

        assertThat(http.put(url, faults.formatted("bogus")).status()).isEqualTo(400);
        assertThat(http.put(url, faults.formatted("a")).status()).isEqualTo(200);

        assertThatThrownBy(() -> connect("a")).isInstanceOf(ConnectException.class);
        assertThat(http.post(proxy.adminAddress() + "/links/b/reset", "").status())
                .isEqualTo(200);
        assertThat(http.get(proxy.adminAddress() + "/journal").body()).contains("FAULTS_SET");
    }
}
