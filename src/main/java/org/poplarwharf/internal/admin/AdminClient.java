package org.poplarwharf.internal.admin;

import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Reads the administration API of a node, for commands. Each call blocks and uses an event loop of its own; immutable
 * and thread-safe.
 */
public final class AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final int DNS_PORT = 53;
    private static final int OK = 200;

    private final String address;
    private final String token;

    public AdminClient(String address, String token) {
        this.address = address;
        this.token = token;
    }

    /** Returns the node's status. */
    public StatusReport status() {
        try {
            return AdminAnswers.JSON.readValue(get("/status"), StatusReport.class);
        } catch (IOException e) {
            throw Reporter.malformedMessage(address, e);
        }
    }

    private String get(String path) {
        Eventloop loop = Eventloop.create();
        CompletableFuture<String> answer = loop.submit(() -> request(loop, path));
        loop.run();
        try {
            return answer.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof PoplarWharfException failure
                    ? failure
                    : Reporter.adminUnreachable(address, e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted(address, e);
        }
    }

    private Promise<String> request(Eventloop loop, String path) throws IOException {
        DnsClient dns = DnsClient.builder(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), DNS_PORT))
                .build();
        HttpClient client = HttpClient.builder(loop, dns)
                .withNoKeepAlive()
                .withConnectTimeout(TIMEOUT)
                .withReadWriteTimeout(TIMEOUT)
                .build();
        HttpRequest.Builder request = HttpRequest.get("http://" + resolved() + path);
        request.withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + token);
        return client.request(request.build()).then(this::body);
    }

    private Promise<String> body(HttpResponse response) {
        return response.loadBody(MAX_ANSWER_BYTES).then(body -> {
            String text = body.getString(StandardCharsets.UTF_8);
            return response.getCode() == OK
                    ? Promise.of(text)
                    : Promise.ofException(Reporter.adminRefused(address, response.getCode(), text));
        });
    }

    /** Returns the address with its host as an IP number, so that the client makes no DNS query of its own. */
    private String resolved() throws IOException {
        int colon = address.lastIndexOf(':');
        return InetAddress.getByName(address.substring(0, colon)).getHostAddress() + address.substring(colon);
    }
}
