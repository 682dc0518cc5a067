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

class FreePortsTest {
    @Test
    void a_chosen_port_is_no_other_process_s_while_the_node_can_listen_on_it() throws IOException {
        int port;
        try (FreePorts ports = new FreePorts()) {
            port = port(ports.choose(TestSettings.create(Optional.empty())).peerAddress());

            assertThatThrownBy(() -> bindAsClient(port)).isInstanceOf(BindException.class);
            try (ServerSocket server = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                assertThat(server.getLocalPort()).isEqualTo(port);
            }
        }
        bindAsClient(port);
    }

    @Test
    void ports_that_the_settings_give_stay_as_they_are() {
        NodeSettings given = TestSettings.create(Optional.empty()).withAddresses("h:1", "h:2", "h:3");
        try (FreePorts ports = new FreePorts()) {
            assertThat(ports.choose(given)).isEqualTo(given);
        }
    }

    private static void bindAsClient(int port) throws IOException {
        try (Socket client = new Socket()) {
            client.setReuseAddress(false);
            client.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
