package org.poplarwharf.support;

import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;

/**
 * A plain HTTP client for tests, one connection a call.
 */
public final class TestHttp {
    private final ReactorThread thread;
    private final HttpClient client;

    public TestHttp(ReactorThread thread) {
        this.thread = thread;
        this.client = thread.call(() -> HttpClient.builder(
                        thread.reactor(), DnsClient.create(thread.reactor(), InetAddress.getLoopbackAddress()))
                .withNoKeepAlive()
                .build());
    }

    /** Sends a request and waits for the whole answer. */
    public Answer call(HttpRequest request) {
        return thread.await(() -> start(request));
    }

    /** Sends a request from the reactor's thread. */
    public Promise<Answer> start(HttpRequest request) {
        return open(request)
                .then(response -> response.loadBody()
                        .map(body -> new Answer(response.getCode(), body.getString(StandardCharsets.UTF_8))));
    }

    /** Sends a request from the reactor's thread; the body is the caller's to read. */
    public Promise<HttpResponse> open(HttpRequest request) {
        return client.request(request);
    }

    public Answer get(String url) {
        return call(HttpRequest.get("http://" + url).build());
    }

    public Answer put(String url, String body) {
        return call(HttpRequest.put("http://" + url).withBody(body).build());
    }

    public Answer post(String url, String body) {
        return call(HttpRequest.post("http://" + url).withBody(body).build());
    }

    public Answer postJson(String url, String body) {
        return call(HttpRequest.post("http://" + url)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(body)
                .build());
    }

    public record Answer(int status, String body) {}
}
