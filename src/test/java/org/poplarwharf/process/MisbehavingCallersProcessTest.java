package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Sends what clients inside the limits never send to a gateway process with little memory and few descriptors. The
 * process must live, stay within its memory and descriptors, and answer an ordinary request while the crowd is still
 * connected. Neither times nor shares of served requests are checked.
 */
@Timeout(180)
class MisbehavingCallersProcessTest {
    private static final ProcessLimits LIMITS = new ProcessLimits(48, 16, 1_024);
    private static final ProcessLimits FEW_DESCRIPTORS = new ProcessLimits(48, 16, 256);

    /** Descriptors that must stay free for targets, the log and readiness. */
    private static final int RESERVED_DESCRIPTOR_COUNT = 64;

    private static final int BODY_CROWD_COUNT = 100;
    private static final int HEAD_CROWD_COUNT = 60;
    private static final int READER_CROWD_COUNT = 20;
    private static final int SLOW_READER_COUNT = 150;
    private static final int PIECE_BYTES = 10_000;
    private static final int PIPELINED_COUNT = 100_000;
    private static final int FRAME_BYTES = 1 << 20;

    @TempDir
    private Path folder;

    private enum Endpoint {
        CALLERS,
        READY,
        PEERS
    }

    private static InetSocketAddress addressOf(LimitedGateway gateway, Endpoint endpoint) {
        return switch (endpoint) {
            case CALLERS -> gateway.callers();
            case READY -> gateway.ready();
            case PEERS -> gateway.peers();
        };
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String head(String path, String fields) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline-Ms: 50000\r\n" + fields + "\r\n";
    }

    private static String withLength(String path, long length) {
        return head(path, "Content-Length: " + length + "\r\n");
    }

    private static String chunked(String path) {
        return head(path, "Transfer-Encoding: chunked\r\n");
    }

    private static void writeChunk(OutputStream out, int length) throws IOException {
        out.write(bytes(Integer.toHexString(length) + "\r\n" + "x".repeat(length) + "\r\n"));
    }

    private void playAgainst(int count, Endpoint endpoint, CallerCrowd.Script script) throws Exception {
        try (LimitedGateway gateway = new LimitedGateway(folder, LIMITS);
                CallerCrowd crowd = CallerCrowd.open(count, addressOf(gateway, endpoint), script)) {
            crowd.awaitStandstill();
            gateway.assertServes();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/echo/x", "/none/x", "/locked/x"})
    void bodies_that_stop_short_of_their_end_in_one_piece(String path) throws Exception {
        byte[] request =
                bytes(withLength(path, LimitedGateway.MAX_BODY_BYTES) + "x".repeat(LimitedGateway.MAX_BODY_BYTES - 1));
        playAgainst(BODY_CROWD_COUNT, Endpoint.CALLERS, out -> out.write(request));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/echo/x", "/none/x", "/locked/x"})
    void bodies_that_stop_short_of_their_end_in_small_pieces(String path) throws Exception {
        byte[] piece = new byte[PIECE_BYTES];
        playAgainst(BODY_CROWD_COUNT, Endpoint.CALLERS, out -> {
            out.write(bytes(withLength(path, LimitedGateway.MAX_BODY_BYTES)));
            for (int sent = PIECE_BYTES; sent < LimitedGateway.MAX_BODY_BYTES; sent += PIECE_BYTES) {
                out.write(piece);
            }
        });
    }

    @ParameterizedTest
    @ValueSource(strings = {"/echo/x", "/none/x", "/locked/x"})
    void bodies_that_stop_short_of_their_end_in_chunks(String path) throws Exception {
        playAgainst(BODY_CROWD_COUNT, Endpoint.CALLERS, out -> {
            out.write(bytes(chunked(path)));
            for (int sent = PIECE_BYTES; sent < LimitedGateway.MAX_BODY_BYTES; sent += PIECE_BYTES) {
                writeChunk(out, PIECE_BYTES);
            }
        });
    }

    @Test
    void whole_bodies_of_legal_size_at_a_target_that_is_slow() throws Exception {
        byte[] request =
                bytes(withLength("/slow/x", LimitedGateway.MAX_BODY_BYTES) + "x".repeat(LimitedGateway.MAX_BODY_BYTES));
        playAgainst(BODY_CROWD_COUNT, Endpoint.CALLERS, out -> out.write(request));
    }

    @ParameterizedTest
    @EnumSource(names = {"CALLERS", "READY"})
    void bodies_far_over_the_limit_with_a_length(Endpoint endpoint) throws Exception {
        byte[] piece = new byte[PIECE_BYTES];
        playAgainst(BODY_CROWD_COUNT, endpoint, out -> {
            out.write(bytes(withLength("/echo/x", 1L << 40)));
            for (int i = 0; i < 1_000; i++) {
                out.write(piece);
            }
        });
    }

    @ParameterizedTest
    @EnumSource(names = {"CALLERS", "READY"})
    void bodies_far_over_the_limit_in_chunks(Endpoint endpoint) throws Exception {
        playAgainst(BODY_CROWD_COUNT, endpoint, out -> {
            out.write(bytes(chunked("/echo/x")));
            for (int i = 0; i < 1_000; i++) {
                writeChunk(out, PIECE_BYTES);
            }
        });
    }

    @ParameterizedTest
    @EnumSource(names = {"CALLERS", "READY"})
    void very_many_short_header_fields_without_an_end(Endpoint endpoint) throws Exception {
        byte[] request = bytes("GET /echo/x HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(30_000));
        playAgainst(HEAD_CROWD_COUNT, endpoint, out -> out.write(request));
    }

    @ParameterizedTest
    @EnumSource(names = {"CALLERS", "READY"})
    void very_many_short_trailers_without_an_end(Endpoint endpoint) throws Exception {
        byte[] request = bytes(chunked("/echo/x") + "0\r\n" + "a:\r\n".repeat(30_000));
        playAgainst(HEAD_CROWD_COUNT, endpoint, out -> out.write(request));
    }

    @ParameterizedTest
    @CsvSource({"CALLERS,'POST /echo/x?'", "READY,'GET /ready?'"})
    void very_many_query_parameters_without_an_end(Endpoint endpoint, String start) throws Exception {
        byte[] request = bytes(start + "a&".repeat(60_000));
        playAgainst(HEAD_CROWD_COUNT, endpoint, out -> out.write(request));
    }

    @ParameterizedTest
    @EnumSource(names = {"CALLERS", "READY"})
    void very_long_chunk_extensions_without_an_end(Endpoint endpoint) throws Exception {
        byte[] request = bytes(chunked("/echo/x") + "1;" + "a=b;".repeat(30_000));
        playAgainst(HEAD_CROWD_COUNT, endpoint, out -> out.write(request));
    }

    @Test
    void prompts_of_very_many_parts_at_a_target_that_is_slow() throws Exception {
        byte[] request =
                bytes(head("/slow/x", "X-Prompt-Prefix: " + "1:1,".repeat(3_800) + "\r\nContent-Length: 0\r\n"));
        playAgainst(SLOW_READER_COUNT, Endpoint.CALLERS, out -> out.write(request));
    }

    @ParameterizedTest
    @CsvSource({"CALLERS,/none/x", "CALLERS,/locked/x", "CALLERS,/echo/x", "READY,/ready", "READY,/metrics"})
    void many_requests_ahead_whose_responses_nobody_reads(Endpoint endpoint, String path) throws Exception {
        byte[] request = bytes(withLength(path, 0));
        playAgainst(READER_CROWD_COUNT, endpoint, out -> {
            for (int i = 0; i < PIPELINED_COUNT; i++) {
                out.write(request);
            }
        });
    }

    @Test
    void large_responses_that_nobody_reads() throws Exception {
        byte[] request = bytes(withLength("/large/x", 0));
        playAgainst(SLOW_READER_COUNT, Endpoint.CALLERS, out -> out.write(request));
    }

    @ParameterizedTest
    @EnumSource
    void garbage(Endpoint endpoint) throws Exception {
        playAgainst(HEAD_CROWD_COUNT, endpoint, out -> {
            byte[] random = new byte[PIECE_BYTES];
            Random numbers = new Random(1);
            for (int i = 0; i < 100; i++) {
                numbers.nextBytes(random);
                out.write(random);
            }
        });
    }

    @Test
    void messages_between_nodes_that_stop_short_of_their_end() throws Exception {
        byte[] length = {0, (byte) (FRAME_BYTES >> 16), 0, 0};
        byte[] frame = new byte[FRAME_BYTES - 1];
        playAgainst(HEAD_CROWD_COUNT, Endpoint.PEERS, out -> {
            out.write(length);
            out.write(frame);
        });
    }

    @ParameterizedTest
    @EnumSource
    void connections_that_say_nothing(Endpoint endpoint) throws Exception {
        try (LimitedGateway gateway = new LimitedGateway(folder, FEW_DESCRIPTORS);
                CallerCrowd crowd =
                        CallerCrowd.open(FEW_DESCRIPTORS.descriptorCount(), addressOf(gateway, endpoint), out -> {})) {
            crowd.awaitStandstill();
            assertThat(gateway.openDescriptorCount())
                    .isLessThanOrEqualTo(FEW_DESCRIPTORS.descriptorCount() - RESERVED_DESCRIPTOR_COUNT);
            gateway.assertServes();
        }
    }

    @Test
    void single_requests_inside_the_limits_are_served() throws Exception {
        try (LimitedGateway gateway = new LimitedGateway(folder, LIMITS)) {
            String body = "x".repeat(LimitedGateway.MAX_BODY_BYTES);
            assertThat(LimitedGateway.statusOf(gateway.callers(), bytes(withLength("/echo/x", body.length()) + body)))
                    .isEqualTo(200);
            String expecting = head("/echo/x", "Expect: 100-continue\r\nContent-Length: 1\r\n");
            assertThat(LimitedGateway.statusOf(gateway.callers(), bytes(expecting)))
                    .isEqualTo(100);
            String old = "GET /echo/x HTTP/1.0\r\nHost: h\r\nX-Deadline-Ms: 4000\r\n\r\n";
            assertThat(LimitedGateway.statusOf(gateway.callers(), bytes(old))).isEqualTo(200);
            gateway.assertServes();
        }
    }
}
