package org.poplarwharf.internal.holder;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.poplarwharf.support.ScriptedTarget;

/** A caller that writes its requests byte for byte and reads the responses in turn. Not thread-safe. */
final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 3_000;

    private final Socket socket;
    private final InputStream in;

    /** A whole response. */
    record Response(int status, Map<String, String> headers, String body) {
        boolean announcesClose() {
            return headers.getOrDefault("connection", "").equalsIgnoreCase("close");
        }
    }

    RawCaller(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns a request without a body. */
    static String post(String path, String id, String extraHeaders) {
        return "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id + "\r\n" + extraHeaders
                + "Content-Length: 0\r\n\r\n";
    }

    /** Returns the head of a request with a body of seven bytes. */
    static String postWithBody(String path, String id, String extraHeaders) {
        return post(path, id, extraHeaders).replace("Content-Length: 0", "Content-Length: 7");
    }

    void send(String text) throws IOException {
        ScriptedTarget.write(socket.getOutputStream(), text);
    }

    /** Waits until a part of a response has arrived. */
    void awaitBytes() throws IOException {
        in.mark(1);
        in.read();
        in.reset();
    }

    /** Reads one response to its end; throws if it breaks off or does not arrive in time. */
    Response readResponse() throws IOException {
        int status = Integer.parseInt(readLine().split(" ")[1]);
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        String body = headers.containsKey("transfer-encoding")
                ? readChunks()
                : readText(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Response(status, headers, body);
    }

    /** Reads up to a piece of text, and returns what was read. */
    String readUntil(String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(end) < 0) {
            read.append(readText(1));
        }
        return read.toString();
    }

    /** Returns whether the node ends the connection in order, without another byte. */
    boolean isClosedByNode() throws IOException {
        return in.read() < 0;
    }

    private String readChunks() throws IOException {
        StringBuilder body = new StringBuilder();
        int length;
        do {
            length = Integer.parseInt(readLine(), 16);
            body.append(readText(length));
            readLine();
        } while (length > 0);
        return body.toString();
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.indexOf("\r\n") < 0) {
            line.append(readText(1));
        }
        return line.substring(0, line.length() - 2);
    }

    private String readText(int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the node closed the connection");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
