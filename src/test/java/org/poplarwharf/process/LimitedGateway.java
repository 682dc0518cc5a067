package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.poplarwharf.support.FakePlatformLog;
import org.poplarwharf.support.ScriptedTarget;

/**
 * A gateway process with little memory and few descriptors, one target and the platform's log. Thread-safe.
 *
 * <p>Requests to {@code /slow/} stay unanswered, those to {@code /large/} get a response of 900 kB, and those to
 * {@code /locked/} need a key.
 */
final class LimitedGateway implements AutoCloseable {
    static final int MAX_BODY_BYTES = 1_000_000;
    static final int MAX_HEADER_BYTES = 16_384;
    private static final int LARGE_RESPONSE_BYTES = 900_000;

    /** Memory of the Java runtime besides heap and direct memory. */
    private static final int RUNTIME_MEGABYTES = 192;

    private static final int READ_TIMEOUT_MILLIS = 5_000;

    private final ProcessLimits limits;
    private final FakePlatformLog platform = new FakePlatformLog();
    private final ScriptedTarget target = new ScriptedTarget("t1");
    private final List<String> addresses = FreePorts.addresses(3);
    private final PoplarProcess process;

    LimitedGateway(Path folder, ProcessLimits limits) throws IOException {
        this.limits = limits;
        target.script = LimitedGateway::respond;
        platform.put("op", "config", configJson());
        platform.put("servers", "t1", target.topicEntry("desk", ",'born':1"));
        Path settings = Files.writeString(folder.resolve("g.yaml"), settingsText());
        process = PoplarProcess.start(folder, "g", List.of("gateway", "--boot", settings.toString()), limits);
        eventually("the gateway is ready", () -> status(ready(), "/ready") == 200);
    }

    private static void respond(ScriptedTarget.Request request, OutputStream out)
            throws IOException, InterruptedException {
        if (request.line().contains("/slow/")) {
            Thread.sleep(60_000);
        }
        boolean isLarge = request.line().contains("/large/");
        ScriptedTarget.writeResponse(out, request, "200 OK", isLarge ? "x".repeat(LARGE_RESPONSE_BYTES) : "whole");
    }

    InetSocketAddress callers() {
        return address(0);
    }

    InetSocketAddress ready() {
        return address(1);
    }

    InetSocketAddress peers() {
        return address(2);
    }

    private InetSocketAddress address(int index) {
        return new InetSocketAddress("127.0.0.1", port(index));
    }

    private int port(int index) {
        String text = addresses.get(index);
        return Integer.parseInt(text.substring(text.indexOf(':') + 1));
    }

    /** Asserts that the process lives within its memory, and that it answers an ordinary request and says it is ready. */
    void assertServes() {
        eventually("an ordinary request is answered", this::diagnosis, () -> {
            assertThat(process.isAlive()).as(diagnosis()).isTrue();
            return status(callers(), "/echo/x") == 200;
        });
        eventually("the gateway says that it is ready", this::diagnosis, () -> status(ready(), "/ready") == 200);
        assertThat(process.isAlive()).as(diagnosis()).isTrue();
        int boundMegabytes = limits.heapMegabytes() + limits.directMegabytes() + RUNTIME_MEGABYTES;
        assertThat(peakMemoryKilobytes()).as("peak memory").isLessThan(boundMegabytes * 1024L);
    }

    private String diagnosis() {
        return "; alive: " + process.isAlive() + "; errors: " + process.errorOutput();
    }

    private long peakMemoryKilobytes() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + process.pid() + "/status"))) {
            return lines.filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElseThrow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns how many descriptors the process has open. */
    int openDescriptorCount() {
        String[] names = Path.of("/proc/" + process.pid() + "/fd").toFile().list();
        return names == null ? 0 : names.length;
    }

    private static int status(InetSocketAddress address, String path) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: ordinary\r\nX-Deadline-Ms: 4000\r\n"
                + "Connection: close\r\nContent-Length: 2\r\n\r\nhi";
        return statusOf(address, head.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a request and returns the status of its response; zero if there is none. */
    static int statusOf(InetSocketAddress address, byte[] request) {
        try (Socket socket = new Socket()) {
            socket.connect(address, READ_TIMEOUT_MILLIS);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request);
            byte[] line = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            String[] words = new String(line, StandardCharsets.ISO_8859_1).split(" ");
            return words.length < 2 ? 0 : Integer.parseInt(words[1]);
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() throws IOException {
        process.close();
        target.close();
        platform.close();
    }

    private String settingsText() {
        return "node: \"g\"\nzone: \"z1\"\nip: \"127.0.0.1\"\nlisten:\n  front: \"" + addresses.get(0)
                + "\"\n  ready: \"" + addresses.get(1) + "\"\nportRange: [" + port(2) + ", " + port(2)
                + "]\nlimits:\n  maxFds: " + limits.descriptorCount() + "\nplatform:\n  addr: \"" + platform.address()
                + "\"\n";
    }

    /** Requests that stop half-way stay open until the test has looked, since their timeout is longer than usual. */
    private static String configJson() {
        List<String> routes = Arrays.stream(new String[] {"echo", "slow", "large", "locked"})
                .map(name -> "{'name':'" + name + "','host':'h','pathPrefix':'/" + name
                        + "/','kind':'unsafe','timeoutMs':60000,'service':'desk','public':" + !name.equals("locked")
                        + "}")
                .toList();
        return "{'version':1,'limits':{'maxHeaderBytes':" + MAX_HEADER_BYTES + ",'maxBodyBytes':" + MAX_BODY_BYTES
                + ",'headerTimeoutMs':60000,'idleTimeoutMs':60000},'tenants':[{'name':'first','apiKeys':['key-1']}],"
                + "'routes':[" + String.join(",", routes) + "],'services':[{'name':'desk'}]}";
    }
}
