package org.poplarwharf.internal.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PortReservationsTest {
    @Test
    void reserved_port_cannot_be_bound_by_others_but_the_node_can_listen_on_it() throws IOException {
        int port;
        try (PortReservations reservations = new PortReservations()) {
            port = port(reservations
                    .assignPorts(TestSettings.create(Optional.empty()))
                    .peerAddress());

            assertThatThrownBy(() -> bindClientSocket(port)).isInstanceOf(BindException.class);
            try (ServerSocket server = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                assertThat(server.getLocalPort()).isEqualTo(port);
            }
        }
        bindClientSocket(port);
    }

    @Test
    void fixed_ports_in_the_settings_are_kept() {
        NodeSettings settings = TestSettings.create(Optional.empty()).withAddresses("h:1", "h:2", "h:3");
        try (PortReservations reservations = new PortReservations()) {
            assertThat(reservations.assignPorts(settings)).isEqualTo(settings);
        }
    }

    private static void bindClientSocket(int port) throws IOException {
        try (Socket client = new Socket()) {
            client.setReuseAddress(false);
            client.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
