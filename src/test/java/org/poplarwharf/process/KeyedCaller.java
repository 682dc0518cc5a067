package org.poplarwharf.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * A caller that sends calls with idempotency keys one after the other, and some of them again at another node. It keeps
 * its connections in use until a node closes them.
 *
 * <p>Invariant: at most one request with a key is waiting for its response. Confined to one thread.
 */
final class KeyedCaller implements Runnable {
    private static final int MAX_SENDS_PER_KEY = 3;
    private static final List<Integer> DEADLINES_MILLIS = List.of(150, 400, 1_000, 3_000, 8_000);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final int caller;
    private final List<String> addresses;
    private final BooleanSupplier isEnded;
    private final Random random;
    private final MonotonicClock clock = MonotonicClock.system();
    private final Map<String, Socket> connections = new HashMap<>();
    private final List<Send> sends = new ArrayList<>();

    /**
     * A request and its response.
     *
     * @param status the HTTP status; 0 if there was none
     * @param ran what the response says about a run; empty if it doesn't say
     */
    record Send(
            String key, String address, long sentAtMillis, long endedAtMillis, int status, String ran, String code) {
        /** Returns whether the response promises that the call has not run and will not. */
        boolean promisesNotRun() {
            return ran.equals("no") || status == 503 || status == 429 || status == 408 || status == 421;
        }
    }

    KeyedCaller(int caller, List<String> addresses, long seed, BooleanSupplier isEnded) {
        this.caller = caller;
        this.addresses = addresses;
        this.random = new Random(seed * 1_000 + caller);
        this.isEnded = isEnded;
    }

    /** Returns what was sent. Must be called after the thread of this caller has ended. */
    List<Send> sends() {
        return sends;
    }

    @Override
    public void run() {
        for (int call = 0; !isEnded.getAsBoolean(); call++) {
            sendUntilServed("k-" + caller + "-" + call);
            FixedRateTraffic.sleepMillis(random.nextInt(40));
        }
        connections.values().forEach(KeyedCaller::closeQuietly);
    }

    private void sendUntilServed(String key) {
        int node = random.nextInt(addresses.size());
        for (int i = 0; i < MAX_SENDS_PER_KEY; i++) {
            Send sent = send(addresses.get(node), key);
            sends.add(sent);
            if (sent.status() == 200 || random.nextInt(3) == 0) {
                return;
            }
            node = (node + 1) % addresses.size();
            FixedRateTraffic.sleepMillis(random.nextInt(sent.status() == 0 ? 400 : 100));
        }
    }

    private Send send(String address, String key) {
        int deadlineMillis = DEADLINES_MILLIS.get(random.nextInt(DEADLINES_MILLIS.size()));
        int patienceMillis = random.nextInt(4) == 0 ? deadlineMillis / 2 : deadlineMillis + 2_000;
        long sentAtMillis = clock.nowMillis();
        try {
            Socket socket = connection(address);
            socket.setSoTimeout(patienceMillis);
            socket.getOutputStream().write(request(key, deadlineMillis));
            return readResponse(address, key, sentAtMillis, new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            close(address);
            return new Send(key, address, sentAtMillis, clock.nowMillis(), 0, "", e.toString());
        }
    }

    private Socket connection(String address) throws IOException {
        Socket open = connections.get(address);
        if (open != null) {
            return open;
        }
        Socket created = new Socket();
        int colon = address.lastIndexOf(':');
        created.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
        connections.put(address, created);
        return created;
    }

    private static byte[] request(String key, int deadlineMillis) {
        String body = "{\"key\":\"" + key + "\"}";
        return ("POST /services/ledger/entries HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
                        + "X-Request-Class: standard\r\nIdempotency-Key: " + key + "\r\nX-Deadline-Millis: "
                        + deadlineMillis + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private Send readResponse(String address, String key, long sentAtMillis, InputStream in) throws IOException {
        int status = Integer.parseInt(readLine(in).split(" ")[1]);
        int length = 0;
        boolean closes = false;
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(
                        lower.substring("content-length:".length()).trim());
            }
            closes |= lower.startsWith("connection:") && lower.contains("close");
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("truncated response");
        }
        if (closes) {
            close(address);
        }
        var document = MAPPER.readTree(body);
        String ran = status == 200 ? "yes" : document.path("ran").asText();
        return new Send(
                key,
                address,
                sentAtMillis,
                clock.nowMillis(),
                status,
                ran,
                document.path("code").asText());
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("closed");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.US_ASCII);
    }

    private void close(String address) {
        Socket open = connections.remove(address);
        if (open != null) {
            closeQuietly(open);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is given up.
        }
    }
}
