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
 * An HTTP client for tests that uses one connection per request.
 */
public final class TestHttpClient {
    private final ReactorThread thread;
    private final HttpClient client;

    public TestHttpClient(ReactorThread thread) {
        this.thread = thread;
        this.client = thread.call(() -> HttpClient.builder(
                        thread.reactor(), DnsClient.create(thread.reactor(), InetAddress.getLoopbackAddress()))
                .withNoKeepAlive()
                .build());
    }

    /** Sends a request and waits for the complete response. */
    public Response send(HttpRequest request) {
        return thread.await(() -> sendAsync(request));
    }

    /** Sends a request; must be called on the reactor's thread. */
    public Promise<Response> sendAsync(HttpRequest request) {
        return sendStreaming(request)
                .then(response -> response.loadBody()
                        .map(body -> new Response(response.getCode(), body.getString(StandardCharsets.UTF_8))));
    }

    /** Sends a request without reading the response body; must be called on the reactor's thread. */
    public Promise<HttpResponse> sendStreaming(HttpRequest request) {
        return client.request(request);
    }

    public Response get(String url) {
        return send(HttpRequest.get("http://" + url).build());
    }

    public Response put(String url, String body) {
        return send(HttpRequest.put("http://" + url).withBody(body).build());
    }

    public Response post(String url, String body) {
        return send(HttpRequest.post("http://" + url).withBody(body).build());
    }

    public Response postJson(String url, String body) {
        return send(HttpRequest.post("http://" + url)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(body)
                .build());
    }

    public record Response(int status, String body) {}
}
