package org.poplarwharf.review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes the small part of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** The head of a message and, for a request, its body. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a request with its body; null if the other end has closed before a request. */
    static Message readRequest(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        String length = head.header("content-length");
        byte[] body = length.isEmpty() ? new byte[0] : in.readNBytes(Integer.parseInt(length));
        if (!length.isEmpty() && body.length < Integer.parseInt(length)) {
            throw new IOException("the request is cut");
        }
        return new Message(head.startLine(), head.headers(), body);
    }

    /** Reads a head; null at the end of the input. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).strip());
        }
        return new Message(line, headers, new byte[0]);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new IOException("the line is cut");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Reads the body of a response that has a length or chunks, and returns null if it is cut. */
    static byte[] readBody(InputStream in, Message head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk == null) {
                    return null;
                }
                if (chunk.length == 0) {
                    return body.toByteArray();
                }
                body.write(chunk);
            }
        }
        int length = head.header("content-length").isEmpty() ? 0 : Integer.parseInt(head.header("content-length"));
        byte[] bytes = in.readNBytes(length);
        return bytes.length < length ? null : bytes;
    }

    /** Reads a chunk; empty for the last one, null if the body is cut. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            return null;
        }
        int length = Integer.parseInt(size.strip(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length || readLine(in) == null) {
            return null;
        }
        return chunk;
    }

    static void writeResponse(OutputStream out, String status, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    /** Closes a socket with a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // It is closed already.
        }
        close(socket);
    }

    static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
