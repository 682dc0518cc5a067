package org.poplarwharf.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.poplarwharf.support.ScriptedTarget;
import org.poplarwharf.support.ScriptedTarget.Request;

/**
 * The responses of a target that states wrongly, or at a wrong place, whether a request has run, or that sends bytes that are
 * no response.
 *
 * <p>Invariant: the first refusal of a request is true; each further copy of it follows on the same connection.
 * Thread-safe.
 */
final class FaultyResponses {
    /** One in this many requests gets a faulty response. */
    private static final int FAULT_INTERVAL = 3;

    private static final int COPY_DELAY_MILLIS = 10;
    private static final String ANONYMOUS_REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String ANONYMOUS_TIMEOUT =
            "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    private static final List<String> REFUSING_STATUSES =
            List.of("503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request");
    private static final List<String> FAILURE_STATUSES =
            List.of("503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout");

    volatile boolean repeatsRefusals;
    volatile boolean failsRuns;
    volatile boolean sendsMalformed;
    private final AtomicInteger malformedCount = new AtomicInteger();
    private final AtomicInteger requestCount = new AtomicInteger();
    private final AtomicInteger refusalCount = new AtomicInteger();
    private final AtomicInteger failureCount = new AtomicInteger();
    private final Map<Socket, String> lateCopies = new ConcurrentHashMap<>();
    private final Consumer<Request> lateCopyListener;

    /** Creates a target's responses; the listener gets each request that is sent a refusal of an earlier one, without its id. */
    FaultyResponses(Consumer<Request> lateCopyListener) {
        this.lateCopyListener = lateCopyListener;
    }

    /**
     * Writes the copy of a refusal that is due before the next response on the connection, and refuses the request if it
     * is its turn. Returns whether it has.
     */
    boolean refuse(Request request, OutputStream out) throws IOException, InterruptedException {
        String copy = lateCopies.remove(request.connection());
        if (copy != null) {
            if (copy.equals(ANONYMOUS_REFUSAL)) {
                lateCopyListener.accept(request);
            }
            ScriptedTarget.write(out, copy);
        }
        if (!repeatsRefusals || requestCount.getAndIncrement() % FAULT_INTERVAL != 0) {
            return false;
        }
        int number = refusalCount.getAndIncrement();
        String refusal = "HTTP/1.1 " + REFUSING_STATUSES.get(number % REFUSING_STATUSES.size())
                + "\r\nX-Not-Executed: 1\r\nX-Request-Id: " + request.id() + "\r\nContent-Length: 0\r\n\r\n";
        switch (number % 5) {
            case 0 -> lateCopies.put(request.connection(), refusal);
            case 1 -> lateCopies.put(request.connection(), ANONYMOUS_REFUSAL);
            case 2 -> refusal += refusal;
            default -> {}
        }
        ScriptedTarget.write(out, refusal);
        if (number % 5 == 3) {
            Thread.sleep(COPY_DELAY_MILLIS);
            ScriptedTarget.write(out, ANONYMOUS_REFUSAL);
        }
        return true;
    }

    /** Fails a request that may run once and has, if it is its turn, with a status that promises that it has not. */
    boolean fail(Request request, OutputStream out) throws IOException {
        if (!failsRuns || !mayRunOnce(request) || failureCount.getAndIncrement() % FAULT_INTERVAL != 0) {
            return false;
        }
        int number = failureCount.get() / FAULT_INTERVAL;
        if (number % 4 == 3) {
            ScriptedTarget.write(out, ANONYMOUS_TIMEOUT);
            throw new IOException("target closes the connection");
        }
        ScriptedTarget.writeResponse(out, request, FAILURE_STATUSES.get(number % FAILURE_STATUSES.size()), "failed");
        return true;
    }

    /** Responds to a request that has run, if it is its turn, with bytes that are no HTTP response. */
    boolean malform(Request request, OutputStream out) throws IOException {
        if (!sendsMalformed || malformedCount.getAndIncrement() % FAULT_INTERVAL != 0) {
            return false;
        }
        String fields = "\r\nX-Request-Id: " + request.id() + "\r\nX-Response-Seal: s\r\n";
        String body = SoakTarget.responseBody(request.id());
        String length = "Content-Length: " + body.length() + "\r\n\r\n" + body;
        ScriptedTarget.write(
                out,
                switch (malformedCount.get() / FAULT_INTERVAL % 5) {
                    case 0 -> "HTTP/1.1 000 OK" + fields + length;
                    case 1 -> "HTTP/1.1 200 OK" + fields + "X Note: 1\r\n" + length;
                    case 2 -> "HTTP/1.1 503 Unavailable" + fields + "X-Not-Executed: 1\r\nX Note: 1\r\n" + length;
                    case 3 -> "HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\nHTTP/1.1 200 OK" + fields + length;
                    default ->
                        "HTTP/1.1 200 OK" + fields + "Transfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\nX Sum: 1\r\n\r\n";
                });
        return true;
    }

    private static boolean mayRunOnce(Request request) {
        return Stream.of(CallKind.values())
                .filter(kind -> !kind.retryable)
                .anyMatch(kind -> request.line().startsWith("POST " + kind.path));
    }
}
