package org.poplarwharf.review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that sends one streaming request, each attempt on a new channel. */
final class Caller {
    private static final AtomicInteger COUNT = new AtomicInteger();

    final String name = String.format("c%05d", COUNT.incrementAndGet());
    /** The servers' versions whose events this client has got, in their order. */
    final Set<String> versions = Collections.synchronizedSet(new LinkedHashSet<>());

    final List<String> attempts = new ArrayList<>();
    int lastEventId;
    boolean complete;
    private volatile Socket socket;
    private String firstEventAttempt = "";
    volatile Gateway gateway;
    volatile String service = "";

    /** Sends the request to a machine, and returns its status; 0 if the channel ended before an answer or within it. */
    int send(Gateway to, String path, String model, int deadlineMillis, Recorder recorder) {
        String attempt = name + "-" + (attempts.size() + 1);
        attempts.add(attempt);
        gateway = to;
        int status = 0;
        try (Socket opened = new Socket()) {
            socket = opened;
            opened.connect(new InetSocketAddress("127.0.0.1", to.frontPort), 1_000);
            opened.setTcpNoDelay(true);
            opened.setSoTimeout(deadlineMillis + 1_000);
            String resume = lastEventId == 0
                    ? ""
                    : "Last-Event-Id: " + lastEventId + "\r\nResumes: " + firstEventAttempt + "\r\n";
            String request = "POST " + path + " HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: " + attempt
                    + "\r\nX-Model: " + model + "\r\nX-Token-Counts: 200,80\r\nX-Prompt-Prefix: 5c1e07a2:100,"
                    + Integer.toHexString(0x10000000 + name.hashCode()) + ":100\r\nX-Deadline-Ms: " + deadlineMillis
                    + "\r\n" + resume + "Content-Length: " + name.length() + "\r\n\r\n" + name;
            opened.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            Http.Message head = Http.readHead(opened.getInputStream());
            if (head == null) {
                return 0;
            }
            status = head.status();
            if (status != 200) {
                byte[] body = Http.readBody(opened.getInputStream(), head);
                recorder.write(
                        "client %s at %s: %d %s",
                        attempt, to.name, status, body == null ? "" : new String(body, StandardCharsets.UTF_8));
                return status;
            }
            if (!readEvents(opened, attempt)) {
                status = 0;
            }
            return status;
        } catch (IOException e) {
            return 0;
        } finally {
            socket = null;
            if (status == 0 || status == 200) {
                recorder.write(
                        "client %s at %s: %s, last event %d, versions %s",
                        attempt, to.name, status == 0 ? "channel broken" : "complete", lastEventId, versions);
            }
        }
    }

    private boolean readEvents(Socket opened, String attempt) throws IOException {
        while (true) {
            byte[] chunk = Http.readChunk(opened.getInputStream());
            if (chunk == null) {
                return false;
            }
            if (chunk.length == 0) {
                complete = true;
                return true;
            }
            for (String line : new String(chunk, StandardCharsets.UTF_8).split("\n")) {
                if (line.startsWith("id: ")) {
                    lastEventId = Integer.parseInt(line.substring(4));
                    if (firstEventAttempt.isEmpty()) {
                        firstEventAttempt = attempt;
                    }
                } else if (line.startsWith("data: ")) {
                    versions.add(line.split(" ")[2]);
                }
            }
        }
    }

    /** Resets the channel of the present attempt, if it is open. */
    void reset() {
        Socket open = socket;
        if (open != null) {
            Http.reset(open);
        }
    }

    int versionCount() {
        return versions.size();
    }

    /** Returns whether this client has got an event of a version. */
    boolean hasVersion(String version) {
        synchronized (versions) {
            return versions.contains(version);
        }
    }
}
