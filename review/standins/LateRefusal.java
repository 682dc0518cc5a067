import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A full server turns a request away and, faulty, gives that answer a second time, late. */
final class LateRefusal {
    private static final int REQUESTS = 100;

    private LateRefusal() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = arguments[0].equals("1");
        Path folder = Path.of(arguments[1]);
        Path temporary = Path.of(arguments[2]);
        Lab.runCase(folder, gateways -> {
            Lab.Store store = new Lab.Store();
            store.put("keyed.op", "config", Lab.config(7, List.of("m1", "m2")));
            AtomicInteger answers = new AtomicInteger();
            AtomicInteger extra = new AtomicInteger();
            Map<String, Boolean> shed = new ConcurrentHashMap<>();
            Lab.Server faulty = new Lab.Server("i-1", "lm", "z1", store, "m1") {
                private final Map<Socket, Lab.Message> late = new ConcurrentHashMap<>();

                @Override
                void answer(Lab.Message request, OutputStream out, Socket connection) throws Exception {
                    Lab.Message before = late.remove(connection);
                    if (before != null) {
                        Lab.note("server i-1 gives its refusal of " + before.header("x-request-id") + " again, late");
                        notExecuted(before, out);
                        extra.incrementAndGet();
                    }
                    int number = answers.incrementAndGet();
                    // Of its answers, the server refuses one in ten, and of these it gives every second one again.
                    if (number % 10 == 0 && shed.putIfAbsent(request.header("x-request-id"), true) == null) {
                        Lab.note("server i-1 is full and refuses " + request.header("x-request-id"));
                        notExecuted(request, out);
                        if (trouble && number % 40 == 0) {
                            late.put(connection, request);
                        }
                        return;
                    }
                    began(request);
                    stream(request, out, 10, 10);
                }
            };
            new Lab.Server("i-2", "lm", "z2", store, "m2");
            Map<String, Integer> statuses = new LinkedHashMap<>();
            gateways.addAll(Lab.startGateways(3, store, temporary));
            Lab.sleep(7000);
            int broken = 0;
            int served = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String id = String.format("%016x", 0x9c41d07be2a30000L + i);
                Lab.Gateway gateway = gateways.get(i % gateways.size());
                Lab.note("client sends " + id + " to " + gateway.name);
                Lab.Message answer = new Lab.Message();
                try {
                    answer = Lab.send(
                            "127.0.0.1",
                            gateway.front,
                            "POST /review/2f HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                                    + "\r\nX-Model: m1\r\nX-Token-Counts: 1460,50\r\nX-Prompt-Prefix: 5c1e07a2:800,"
                                    + Integer.toHexString(0xe4400000 + i) + ":250\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n",
                            "hi".getBytes(),
                            6000);
                } catch (java.io.IOException e) {
                    Lab.note("client of " + id + ": " + e);
                }
                Lab.note("client gets " + answer.status() + " for " + id + (answer.complete ? "" : ", not whole"));
                served += answer.status() == 200 ? 1 : 0;
                statuses.put(id, answer.status());
                Lab.sleep(20);
            }
            Lab.sleep(500);
            for (Map.Entry<String, Integer> entry : statuses.entrySet()) {
                int runs = faulty.runs.getOrDefault(entry.getKey(), 0);
                boolean promise = entry.getValue() == 503 || entry.getValue() == 429;
                if (runs > 1) {
                    Lab.note("TWICE broken: " + entry.getKey() + " has run " + runs + " times");
                    broken++;
                }
                if (promise && runs > 0) {
                    Lab.note("REFUSED broken: " + entry.getKey() + " was answered " + entry.getValue() + " and has run");
                    broken++;
                }
            }
            Lab.note("served " + served + " of " + REQUESTS + ", extra answers " + extra.get() + " of " + answers.get()
                    + ", promises broken " + broken);
            return broken > 0 ? Lab.BROKEN : Lab.HELD;
        });
    }
}
