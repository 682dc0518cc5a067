package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.poplarwharf.support.FakePlatformLog;
import org.poplarwharf.support.ScriptedTarget;

class FreePortsTest {
    private static final int ADDRESS_COUNT = 1_000;

    /** Two runs of the tests at once drew the same addresses, since an address is free again until a node listens on it. */
    @Test
    void processes_that_run_at_the_same_time_draw_different_addresses() throws Exception {
        List<Process> processes = new ArrayList<>();
        try {
            for (int i = 0; i < 2; i++) {
                processes.add(startDrawing());
            }
            Set<String> all = new HashSet<>();
            for (Process process : processes) {
                all.addAll(readAddresses(process));
            }
            assertThat(all).hasSize(2 * ADDRESS_COUNT);
        } finally {
            processes.forEach(Process::destroy);
        }
    }

    @Test
    void a_process_draws_no_address_twice() {
        List<String> drawn = IntStream.range(0, ADDRESS_COUNT)
                .mapToObj(i -> FreePorts.addresses(1).get(0))
                .toList();

        assertThat(drawn).doesNotHaveDuplicates();
    }

    @Test
    void an_address_that_another_socket_listens_on_is_not_drawn() throws Exception {
        int nextPort = port(FreePorts.addresses(1).get(0)) + 1;
        try (ServerSocket listening = new ServerSocket(nextPort, 1, InetAddress.getLoopbackAddress())) {
            assertThat(FreePorts.addresses(50)).doesNotContain("127.0.0.1:" + listening.getLocalPort());
        }
    }

    /** Another run could be given the address of a target that had crashed, and get the requests meant for it. */
    @Test
    void targets_and_logs_of_tests_do_not_listen_on_ports_that_the_system_assigns() throws Exception {
        try (FakePlatformLog log = new FakePlatformLog();
                ScriptedTarget target = new ScriptedTarget("i-0")) {
            assertThat(List.of(port(log.address()), target.port()))
                    .allMatch(port -> port < FreePorts.LOWEST_EPHEMERAL_PORT);
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    private static Process startDrawing() throws IOException {
        return new ProcessBuilder(
                        ProcessHandle.current().info().command().orElseThrow(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        AddressPrinter.class.getName())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
    }

    private static List<String> readAddresses(Process process) throws IOException {
        List<String> addresses = new ArrayList<>();
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        for (int i = 0; i < ADDRESS_COUNT; i++) {
            addresses.add(reader.readLine());
        }
        return addresses;
    }

    /** Draws addresses one at a time, prints them, and keeps running until it is ended or its input is closed. */
    static final class AddressPrinter {
        private AddressPrinter() {}

        public static void main(String[] arguments) throws IOException {
            for (int i = 0; i < ADDRESS_COUNT; i++) {
                System.out.println(FreePorts.addresses(1).get(0));
            }
            System.out.flush();
            System.in.read();
        }
    }
}
