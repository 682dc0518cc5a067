package org.poplarwharf.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.internal.target.RawHttpTarget.jsonResponse;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import org.poplarwharf.internal.target.RawHttpTarget;

/**
 * Sends invalid and truncated bytes as targets and as callers. Guards against an entry role that stops serving, or that
 * forwards a response to a caller whose request it does not belong to.
 */
class MalformedBytesPropertyTest {
    private static final String COMPLETION_BODY = "{\"model\":\"llama\"}";
    private static final String VALID_RESPONSE = "{\"ok\":1}";
    private static final EntryFixture ENTRY = new EntryFixture();

    @AfterContainer
    static void close() {
        ENTRY.close();
    }

    @Property(tries = 100)
    void never_forwards_bytes_that_are_no_http_response(@ForAll @Size(max = 200) byte[] garbage) throws IOException {
        HttpResponse<String> response = responseAfterTargetSends(garbage);

        assertThat(response.statusCode()).isIn(200, 502);
        assertThat(response.statusCode() == 200).isEqualTo(response.body().equals(VALID_RESPONSE));
    }

    @Property(tries = 100)
    void never_forwards_a_response_that_is_truncated_at_any_byte(@ForAll @IntRange(max = 84) int lengthBytes)
            throws IOException {
        byte[] completeResponse = jsonResponse(200, "{\"other\":\"" + "x".repeat(20) + "\"}");
        HttpResponse<String> response = responseAfterTargetSends(
                Arrays.copyOf(completeResponse, Math.min(lengthBytes, completeResponse.length - 1)));

        assertThat(response.statusCode()).isIn(200, 502);
        assertThat(response.statusCode() == 200).isEqualTo(response.body().equals(VALID_RESPONSE));
    }

    @Property(tries = 100)
    void keeps_serving_after_bytes_that_are_no_http_request(@ForAll @Size(min = 1, max = 200) byte[] garbage)
            throws IOException {
        String[] listen = ENTRY.listenAddress().split(":");
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(listen[1]))) {
            socket.getOutputStream().write(garbage);
            socket.shutdownOutput();
        }
        try (RawHttpTarget target =
                new RawHttpTarget((n, head, out) -> write(out, jsonResponse(200, VALID_RESPONSE)))) {
            ENTRY.admission.targetAddresses.add(target.address());

            assertThat(ENTRY.send(ENTRY.completion(COMPLETION_BODY)).join().body())
                    .isEqualTo(VALID_RESPONSE);
        }
    }

    /** Returns the response to a caller when the first target sends some bytes and closes, and the second works. */
    private static HttpResponse<String> responseAfterTargetSends(byte[] bytes) throws IOException {
        try (RawHttpTarget failingTarget = new RawHttpTarget((n, head, out) -> !write(out, bytes));
                RawHttpTarget target =
                        new RawHttpTarget((n, head, out) -> write(out, jsonResponse(200, VALID_RESPONSE)))) {
            ENTRY.admission.targetAddresses.clear();
            ENTRY.admission.targetAddresses.addAll(List.of(failingTarget.address(), target.address()));
            return ENTRY.send(ENTRY.completion(COMPLETION_BODY)).join();
        }
    }

    private static boolean write(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
        return true;
    }
}
