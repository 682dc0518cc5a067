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

/** Bytes that no well-behaved target or caller sends: the entry goes on, and gives nobody an answer that is not his. */
class MalformedBytesPropertyTest {
    private static final String ASK = "{\"model\":\"llama\"}";
    private static final String WHOLE = "{\"ok\":1}";
    private static final EntryFixture ENTRY = new EntryFixture();

    @AfterContainer
    static void close() {
        ENTRY.close();
    }

    @Property(tries = 100)
    void bytes_that_are_no_answer_are_never_given_on(@ForAll @Size(max = 200) byte[] garbage) throws IOException {
        HttpResponse<String> answer = answerBehind(garbage);

        assertThat(answer.statusCode()).isIn(200, 502);
        assertThat(answer.statusCode() == 200).isEqualTo(answer.body().equals(WHOLE));
    }

    @Property(tries = 100)
    void an_answer_that_is_cut_anywhere_is_never_given_on(@ForAll @IntRange(max = 84) int lengthBytes)
            throws IOException {
        byte[] full = jsonResponse(200, "{\"other\":\"" + "x".repeat(20) + "\"}");
        HttpResponse<String> answer = answerBehind(Arrays.copyOf(full, Math.min(lengthBytes, full.length - 1)));

        assertThat(answer.statusCode()).isIn(200, 502);
        assertThat(answer.statusCode() == 200).isEqualTo(answer.body().equals(WHOLE));
    }

    @Property(tries = 100)
    void bytes_that_are_no_request_leave_the_entry_serving(@ForAll @Size(min = 1, max = 200) byte[] garbage)
            throws IOException {
        String[] listen = ENTRY.callersAddress().split(":");
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(listen[1]))) {
            socket.getOutputStream().write(garbage);
            socket.shutdownOutput();
        }
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> write(out, jsonResponse(200, WHOLE)))) {
            ENTRY.places.addresses.add(target.address());

            assertThat(ENTRY.send(ENTRY.completion(ASK)).join().body()).isEqualTo(WHOLE);
        }
    }

    /** Returns what a caller gets when the first target sends some bytes and closes, and the second works. */
    private static HttpResponse<String> answerBehind(byte[] bytes) throws IOException {
        try (RawHttpTarget broken = new RawHttpTarget((n, head, out) -> !write(out, bytes));
                RawHttpTarget target = new RawHttpTarget((n, head, out) -> write(out, jsonResponse(200, WHOLE)))) {
            ENTRY.places.addresses.clear();
            ENTRY.places.addresses.addAll(List.of(broken.address(), target.address()));
            return ENTRY.send(ENTRY.completion(ASK)).join();
        }
    }

    private static boolean write(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
        return true;
    }
}
