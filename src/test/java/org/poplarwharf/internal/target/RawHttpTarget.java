package org.poplarwharf.internal.target;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/**
 * A target for tests that write the bytes of each response themselves. Each connection is served by a thread of its
 * own.
 */
public final class RawHttpTarget implements AutoCloseable {
    private final ServerSocket server;
    private final Script script;
    public final List<String> requests = new CopyOnWriteArrayList<>();
    public final CountDownLatch clientDisconnected = new CountDownLatch(1);

    public RawHttpTarget(Script script) throws IOException {
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.script = script;
        Thread.ofVirtual().start(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes the response to one request. Returns false to close the connection. */
    public interface Script {
        boolean respond(int requestNumber, String head, OutputStream out) throws IOException, InterruptedException;
    }

    public static byte[] jsonResponse(int status, String body) {
        return ("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    public static byte[] chunkedResponseHead() {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII);
    }

    public static byte[] chunk(String text) {
        return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    public static String tokenEvent(int index) {
        return "data: {\"token_index\":" + index + ",\"text\":\"t" + index + "\"}\n\n";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException e) {
            assert server.isClosed();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String head = readHead(socket.getInputStream());
            while (!head.isEmpty()) {
                requests.add(head);
                if (!script.respond(requests.size(), head, socket.getOutputStream())) {
                    return;
                }
                socket.getOutputStream().flush();
                head = readHead(socket.getInputStream());
            }
            clientDisconnected.countDown();
        } catch (IOException | InterruptedException e) {
            clientDisconnected.countDown();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!bytes.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            bytes.write(next);
        }
        String head = bytes.toString(StandardCharsets.US_ASCII);
        in.readNBytes(contentLength(head));
        return head;
    }

    private static int contentLength(String head) {
        for (String line : head.toLowerCase(Locale.ROOT).split("\r\n")) {
            if (line.startsWith("content-length:")) {
                return Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        return 0;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
