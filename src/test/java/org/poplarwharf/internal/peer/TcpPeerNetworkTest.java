package org.poplarwharf.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TcpPeerNetworkTest extends PeerNetworkTestCase {

    @Test
    void two_nodes_that_dial_each_other_keep_one_connection_and_deliver_messages_in_order() throws Exception {
        TcpPeerNetwork a = node("a");
        TcpPeerNetwork b = node("b");
        RecordingListener recorder = listen(b);
        callOnEventLoop(() -> {
            a.add(b.advertisedAddress());
            b.add(a.advertisedAddress());
            return null;
        });
        awaitUntil(() ->
                a.connectedAddresses().size() == 1 && b.connectedAddresses().size() == 1);
        awaitUntil(() -> a.send(b.advertisedAddress(), new PeerMessage.ConfigVersion(0, 0)));

        AtomicLong version = new AtomicLong();
        awaitUntil(() -> {
            a.send(b.advertisedAddress(), new PeerMessage.ConfigVersion(version.incrementAndGet(), 0));
            return recorder.versions.size() >= 100;
        });
        assertThat(recorder.versions).isSorted().doesNotHaveDuplicates();
        assertThat(callOnEventLoop(a::connectedAddresses)).containsExactly(b.advertisedAddress());
    }

    @Test
    void a_node_does_not_connect_to_itself() throws Exception {
        TcpPeerNetwork a = node("a");
        TcpPeerNetwork b = node("b");
        String alias = a.advertisedAddress().replace("127.0.0.1", "localhost");

        callOnEventLoop(() -> {
            a.addSeeds(List.of(a.advertisedAddress(), alias, b.advertisedAddress()));
            return null;
        });

        awaitUntil(() -> a.connectedAddresses().equals(List.of(b.advertisedAddress())));
    }

    @Test
    void a_lost_node_is_reported_as_disconnected_and_reconnected_after_its_restart() throws Exception {
        TcpPeerNetwork a = node("a");
        TcpPeerNetwork b = node("b");
        RecordingListener recorder = listen(a);
        String address = b.advertisedAddress();
        callOnEventLoop(() -> {
            a.add(address);
            return null;
        });
        awaitUntil(() -> recorder.events.contains("up " + address));

        callOnEventLoop(b::stop);
        awaitUntil(() -> recorder.events.contains("down " + address));
        assertThat(callOnEventLoop(() -> a.send(address, new PeerMessage.ConfigRequest())))
                .isFalse();
        node("b", address, 2);

        awaitUntil(() -> recorder.events.equals(List.of("up " + address, "down " + address, "up " + address)));
    }

    @Test
    void a_silent_connection_is_closed_and_replaced() throws Exception {
        TcpPeerNetwork a = node("a");
        TcpPeerNetwork b = node("b");
        try (SilencingRelay relay = new SilencingRelay(b.advertisedAddress())) {
            RecordingListener recorder = listen(a);
            callOnEventLoop(() -> {
                a.add(relay.address());
                return null;
            });
            awaitUntil(() -> a.connectedAddresses().size() == 1);

            relay.silence();

            awaitUntil(() ->
                    recorder.events.stream().filter(e -> e.startsWith("up")).count() >= 2);
            assertThat(recorder.events.get(1)).startsWith("down");
        }
    }

    @Test
    void a_target_in_the_vm_list_is_dialed_once_while_a_node_is_connected_and_not_counted_as_malformed()
            throws Exception {
        try (HttpTarget target = new HttpTarget();
                HttpTarget seed = new HttpTarget()) {
            TcpPeerNetwork a = node("a");
            TcpPeerNetwork b = node("b");
            callOnEventLoop(() -> {
                a.addSeeds(List.of(b.advertisedAddress()));
                return null;
            });
            awaitUntil(() -> a.connectedAddresses().size() == 1);

            updateVmList(a, target.address());
            awaitUntil(() -> target.connections.get() > 0);
            callOnEventLoop(() -> {
                a.addSeeds(List.of(seed.address()));
                return null;
            });
            awaitUntil(() -> seed.connections.get() >= 5);

            assertThat(target.connections).hasValue(1);
            awaitUntil(() -> metrics.counter("peer.malformed-frames").getCount() >= 1);
            assertThat(metrics.counter("peer.malformed-frames").getCount()).isLessThanOrEqualTo(seed.connections.get());
        }
    }

    @Test
    void an_address_in_the_vm_list_is_retried_while_no_node_is_connected_and_removed_with_its_list_entry()
            throws Exception {
        try (HttpTarget target = new HttpTarget();
                HttpTarget secondTarget = new HttpTarget()) {
            TcpPeerNetwork a = node("a");
            updateVmList(a, target.address());
            awaitUntil(() -> target.connections.get() >= 3);

            updateVmList(a, secondTarget.address());
            awaitUntil(() -> secondTarget.connections.get() >= 2);
            int connections = target.connections.get();
            awaitUntil(() -> secondTarget.connections.get() >= 6);

            assertThat(target.connections).hasValue(connections);
        }
    }

    private void updateVmList(TcpPeerNetwork peers, String... addresses) throws Exception {
        callOnEventLoop(() -> {
            peers.updateVmList(Set.of(addresses));
            return null;
        });
    }

    @Test
    void a_frame_above_the_size_limit_closes_the_connection_and_is_counted() throws Exception {
        TcpPeerNetwork a = node("a");

        assertConnectionClosedAfter(a, new byte[] {0x7f, 0, 0, 0, 1});

        awaitUntil(() -> metrics.counter("peer.malformed-frames").getCount() == 1);
    }

    @Test
    void a_message_with_missing_fields_closes_the_connection_and_is_counted() throws Exception {
        TcpPeerNetwork a = node("a");
        byte[] hello = new org.poplarwharf.internal.codec.MessagePackCodec<>(PeerMessage.class)
                .encode(new PeerMessage.Hello(null, 1, null, null));
        byte[] frame = new byte[hello.length + 4];
        frame[3] = (byte) hello.length;
        System.arraycopy(hello, 0, frame, 4, hello.length);

        assertConnectionClosedAfter(a, frame);

        awaitUntil(() -> metrics.counter("peer.malformed-frames").getCount() == 1);
    }

    @Property(tries = 20)
    void arbitrary_bytes_do_not_stop_the_node(@ForAll byte[] bytes) throws Exception {
        TcpPeerNetwork a = node("a");
        byte[] frame = new byte[bytes.length + 4];
        frame[2] = (byte) (bytes.length >> 8);
        frame[3] = (byte) bytes.length;
        System.arraycopy(bytes, 0, frame, 4, bytes.length);

        assertConnectionClosedAfter(a, frame);
        assertConnectionClosedAfter(a, bytes);

        TcpPeerNetwork b = node("b");
        callOnEventLoop(() -> {
            b.add(a.advertisedAddress());
            return null;
        });
        awaitUntil(() -> b.connectedAddresses().size() == 1);
    }

    private static void assertConnectionClosedAfter(TcpPeerNetwork peers, byte[] bytes) throws IOException {
        InetSocketAddress address = PeerAddress.parse(peers.advertisedAddress());
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout((int) DEADLINE_MILLIS);
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
            socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
        } catch (SocketException e) {
            assertThat(e).hasMessageMatching("Connection reset|Broken pipe.*");
        }
    }

    /** Responds to each connection like an HTTP server that receives a malformed request. */
    private static final class HttpTarget implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final AtomicInteger connections = new AtomicInteger();

        HttpTarget() throws IOException {
            Thread.ofVirtual().start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    try (Socket socket = server.accept()) {
                        connections.incrementAndGet();
                        socket.getOutputStream().write("HTTP/1.1 400 Bad Request\r\n\r\n".getBytes());
                    }
                }
            } catch (IOException e) {
                assertThat(server.isClosed()).isTrue();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** Relays connections. Once silenced, open connections stay open but transfer no more data. */
    private static final class SilencingRelay implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final InetSocketAddress upstream;
        private volatile int generation;

        SilencingRelay(String upstream) throws IOException {
            this.upstream = PeerAddress.parse(upstream);
            Thread.ofVirtual().start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        void silence() {
            generation++;
        }

        private void accept() {
            try {
                while (true) {
                    Socket downstream = server.accept();
                    Socket upstreamSocket = new Socket(upstream.getAddress(), upstream.getPort());
                    int relayGeneration = generation;
                    Thread.ofVirtual().start(() -> forward(downstream, upstreamSocket, relayGeneration));
                    Thread.ofVirtual().start(() -> forward(upstreamSocket, downstream, relayGeneration));
                }
            } catch (IOException e) {
                assertThat(server.isClosed()).isTrue();
            }
        }

        private void forward(Socket from, Socket to, int relayGeneration) {
            byte[] buffer = new byte[1_000];
            try {
                int size = from.getInputStream().read(buffer);
                while (size >= 0) {
                    if (generation == relayGeneration) {
                        to.getOutputStream().write(buffer, 0, size);
                    }
                    size = from.getInputStream().read(buffer);
                }
                to.close();
            } catch (IOException e) {
                assertThat(e).isNotNull();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
