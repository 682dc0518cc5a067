package org.poplarwharf.internal.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.platform.GatewaySettingsReader;
import org.poplarwharf.internal.platform.PlatformGateway;

/**
 * Starts a gateway without a platform, sends it a request and stops it. The build runs this once to archive the classes
 * that a gateway loads at its start, because loading them takes much of the processor time of a start.
 *
 * <p>Confined to one thread.
 */
public final class ClassArchiveTraining {
    private static final int ADDRESS_COUNT = 4;
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final long TIMEOUT_MILLIS = 60_000;

    private ClassArchiveTraining() {}

    /**
     * Runs the training, and ends the process with code 0 in any case: without an archive, or with one of fewer classes, a
     * gateway only starts more slowly.
     *
     * @param arguments the path of the settings file to write
     */
    public static void main(String[] arguments) {
        // A build must not wait for a gateway that doesn't respond.
        Thread watchdog = new Thread(ClassArchiveTraining::haltAfterTimeout, "watchdog");
        watchdog.setDaemon(true);
        watchdog.start();
        try {
            train(Path.of(arguments[0]));
        } catch (IOException | RuntimeException e) {
            System.err.println("The class archive is incomplete: " + e);
        } finally {
            // The event loops of a gateway end with its process.
            System.exit(Command.EXIT_OK);
        }
    }

    private static void haltAfterTimeout() {
        try {
            Thread.sleep(TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(Command.EXIT_OK);
    }

    private static void train(Path settingsFile) throws IOException {
        List<Integer> ports = freePorts();
        Files.writeString(settingsFile, settings(ports));
        PrintStream log = new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
        PlatformGateway gateway = PlatformGateway.start(settingsFile, GatewaySettingsReader.read(settingsFile), log);
        sendRequest(ports.get(0));
        sendRequest(ports.get(1));
        gateway.drainAndStop();
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < ADDRESS_COUNT; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    private static String settings(List<Integer> ports) {
        return """
                node: "n1"
                zone: "z1"
                ip: "127.0.0.1"
                listen:
                  front: "127.0.0.1:%d"
                  ready: "127.0.0.1:%d"
                portRange: [%d, %d]
                platform:
                  addr: "127.0.0.1:%d"
                bounds:
                  graceS: 1
                """.formatted(ports.get(0), ports.get(1), ports.get(2), ports.get(2), ports.get(3));
    }

    private static void sendRequest(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String request = "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }
}
