package org.poplarwharf.internal.response;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Malformed heads, chunks and trailers with the reason that is given for each, and sound ones that are rare. */
class ResponseVerifierTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n";

    private final ResponseVerifier verifier = new ResponseVerifier();

    private static String unescape(String text) {
        return text.replace("\\r", "\r")
                .replace("\\n", "\n")
                .replace("\\t", "\t")
                .replace("\\0", "\0")
                .replace("\\1", "\u0001")
                .replace("\\v", "\u000b")
                .replace("\\7", "\u007f");
    }

    private ResponseVerifier.Result verify(String text) {
        return verifier.verify(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Returns what goes on to the decoder of a text that is received in parts of this length. */
    private String passed(String text, int partLength) {
        StringBuilder passed = new StringBuilder();
        for (int start = 0; start < text.length(); start += partLength) {
            String part = text.substring(start, Math.min(text.length(), start + partLength));
            ResponseVerifier.Result result = verify(part);
            passed.append(part, result.start(), result.end());
        }
        return passed.toString();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
                    HTTP/1.1 000 OK                      | status code outside of 100 to 599
                    HTTP/1.1 099 OK                      | status code outside of 100 to 599
                    HTTP/1.1 600 OK                      | status code outside of 100 to 599
                    HTTP/1.1 999                         | status code outside of 100 to 599
                    HTTP/1.1 20 OK                       | status code that is not three digits
                    HTTP/1.1 2000 OK                     | status code that is not three digits
                    HTTP/1.1 200OK                       | status code that is not three digits
                    HTTP/1.1 +20 OK                      | status code that is not three digits
                    HTTP/1.1 2 0 OK                      | status code that is not three digits
                    HTTP/1.1  200 OK                     | status code that is not three digits
                    HTTP/1.1 OK                          | status code that is not three digits
                    HTTP/1.1\\t200 OK                     | no HTTP version in the status line
                    HTTP/1.1                             | no HTTP version in the status line
                    HTTP/2.0 200 OK                      | no HTTP version in the status line
                    HTTP/1.x 200 OK                      | no HTTP version in the status line
                    HTTP/11 200 OK                       | no HTTP version in the status line
                    http/1.1 200 OK                      | no HTTP version in the status line
                    ICY 200 OK                           | no HTTP version in the status line
                    \\r\\nHTTP/1.1 200 OK                  | no HTTP version in the status line
                    xHTTP/1.1 200 OK                     | no HTTP version in the status line
                    HTTP/1.1 200 O\\0K                    | control byte in the reason phrase
                    HTTP/1.1 200 O\\rK                    | control byte in the reason phrase
                    HTTP/1.1 101 Switching               | protocol switched without a request for it
                    HTTP/1.1 200 OK\\nX-Note: 1           | line without a carriage return
                    HTTP/1.1 200 OK\\r\\nX Note: 1         | field name that is no token
                    HTTP/1.1 200 OK\\r\\nX-Note : 1        | field name that is no token
                    HTTP/1.1 200 OK\\r\\nX-Note\\t: 1       | field name that is no token
                    HTTP/1.1 200 OK\\r\\nX-\\1Note: 1       | field name that is no token
                    HTTP/1.1 200 OK\\r\\nX-\\0Note: 1       | field name that is no token
                    HTTP/1.1 200 OK\\r\\nX-\\7Note: 1       | field name that is no token
                    HTTP/1.1 200 OK\\r\\nX-Note\\r: 1       | field name that is no token
                    HTTP/1.1 200 OK\\r\\nX-Nöte: 1         | field name that is no token
                    HTTP/1.1 200 OK\\r\\nX(Note): 1        | field name that is no token
                    HTTP/1.1 200 OK\\r\\n: 1               | field name that is no token
                    HTTP/1.1 200 OK\\r\\nX-Note            | field line without a colon
                    HTTP/1.1 200 OK\\r\\n X-Note: 1        | white space before the first field
                    HTTP/1.1 200 OK\\r\\nX-Note: \\0        | control byte in the value of a field
                    HTTP/1.1 200 OK\\r\\nX-Note: a\\vb      | control byte in the value of a field
                    HTTP/1.1 200 OK\\r\\nX-Note: a\\rb      | control byte in the value of a field
                    HTTP/1.1 200 OK\\r\\nX-Note: a\\r\\n \\0b | control byte in the value of a field
                    HTTP/1.1 200 OK\\r\\nX-Note: a\\nY: b   | line without a carriage return
                    HTTP/1.1 200 OK\\r\\nContent-Length:   | length of the body that is no number
                    HTTP/1.1 200 OK\\r\\nContent-Length: -1| length of the body that is no number
                    HTTP/1.1 200 OK\\r\\nContent-Length: +1| length of the body that is no number
                    HTTP/1.1 200 OK\\r\\nContent-Length: 1x| length of the body that is no number
                    HTTP/1.1 200 OK\\r\\nContent-Length: 1, 1 | length of the body that is no number
                    HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\n 2 | length of the body that is no number
                    HTTP/1.1 204 No\\r\\nContent-Length: x | length of the body that is no number
                    HTTP/1.1 200 OK\\r\\nContent-Length: 9999999999999999999 | length of the body that is too large
                    HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\ncontent-length: 1 | more than one field that delimits the body
                    HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\nTransfer-Encoding: chunked | more than one field that delimits the body
                    HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\nContent-Length: 1 | both a length and a transfer coding
                    HTTP/1.0 200 OK\\r\\nTransfer-Encoding: chunked | transfer coding in a response of HTTP/1.0
                    HTTP/1.1 200 OK\\r\\nTransfer-Encoding: gzip, chunked | transfer coding that was not requested
                    HTTP/1.1 200 OK\\r\\nTransfer-Encoding: identity | transfer coding that was not requested
                    HTTP/1.1 103 Early Hints\\r\\nX Note: 1 | field name that is no token
                    HTTP/1.1 103 Early Hints\\r\\n\\r\\nHTTP/1.0 200 OK | version that differs from that of the interim response before
                    """)
    void malformed_head_is_no_response_and_is_not_passed_on(String head, String reason) {
        String text = unescape(head) + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

        ResponseVerifier.Result result = verify(text);

        assertThat(result.failure()).map(Throwable::getMessage).hasValue(reason);
        assertThat(result.length()).isZero();
        assertThat(verifier.isComplete()).isFalse();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
                    \\r\\n                                | chunk without a size
                    x\\r\\n                               | chunk without a size
                    -1\\r\\n                              | chunk without a size
                    0x5\\r\\n                             | malformed extension of a chunk
                    5 \\r\\nwhole                         | malformed extension of a chunk
                    5;\\r\\nwhole                         | malformed extension of a chunk
                    5;a b\\r\\nwhole                      | malformed extension of a chunk
                    5;a=\\r\\nwhole                       | malformed extension of a chunk
                    5;a="b\\r\\nwhole                     | malformed extension of a chunk
                    5;a="\\1"\\r\\nwhole                   | malformed extension of a chunk
                    10000000000000000\\r\\nwhole          | size of a chunk that is too large
                    5\\nwhole                            | line without a carriage return
                    5\\r\\nwholeX\\r\\n                     | chunk that is longer than its size
                    5\\r\\nwhole\\n                        | line without a carriage return
                    0\\r\\nX Sum: 1\\r\\n                   | field name that is no token
                    0\\r\\nX-Sum: \\0\\r\\n                  | control byte in the value of a field
                    0\\r\\n X-Sum: 1\\r\\n                  | white space before the first field
                    0\\r\\nX-Sum\\r\\n                      | field line without a colon
                    """)
    void malformed_chunk_or_trailer_ends_the_response_as_broken(String chunks, String reason) {
        ResponseVerifier.Result result = verify(unescape(CHUNKED) + unescape(chunks) + "\r\n0\r\n\r\n");

        assertThat(result.failure()).map(Throwable::getMessage).hasValue(reason);
        assertThat(verifier.isComplete()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 299 \u00e4 reason\twith blanks\r\ncontent-length:5\r\n\r\nwhole",
                "HTTP/1.1 599 X\r\nCONTENT-LENGTH: \t005 \t\r\n\r\nwhole",
                "HTTP/1.1 200 OK\r\nX-Note: a\r\n b\r\n\t\r\n c\r\nContent-Length:\r\n 5\r\n\r\nwhole",
                "HTTP/1.1 200 OK\r\nX-Note:\r\nX-Note: \"\u00e4\u00ff\"\r\n!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
                "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked \r\n\r\n05\r\nwhole\r\nA;a;b=c ; d = \"e\\\"\"\r\n0123456789\r\n"
                        + "000\r\nX-Sum: 1\r\n 2\r\nContent-Length: 7\r\n\r\n"
            })
    void rare_but_lawful_response_is_passed_on_whole(String response) {
        ResponseVerifier.Result result = verify(response + "behind");

        assertThat(result).isEqualTo(new ResponseVerifier.Result(0, response.length(), Optional.empty()));
        assertThat(verifier.isComplete()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 8, 9, 10, 11, 13, 30, 200})
    void interim_responses_are_dropped_however_they_are_divided_into_reads(int partLength) {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

        String passed = passed(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>;\r\n rel=y\r\n\r\n" + response,
                partLength);

        assertThat(passed).isEqualTo(response);
        assertThat(verifier.isComplete()).isTrue();
    }

    @Test
    void interim_responses_without_end_are_no_response() {
        ResponseVerifier.Result result = verify("HTTP/1.1 102 Processing\r\n\r\n".repeat(1_000));

        assertThat(result.failure()).map(Throwable::getMessage).hasValue("interim responses without end");
    }

    @Test
    void interim_response_whose_head_has_no_end_is_no_response() {
        verify("HTTP/1.1 103 Early Hints\r\n");
        ResponseVerifier.Result result = verify("Link: </x>\r\n".repeat(1_000));
        for (int i = 0; i < 1_000 && result.failure().isEmpty(); i++) {
            result = verify("Link: </x>\r\n".repeat(1_000));
        }

        assertThat(result.failure()).isPresent();
    }

    @Test
    void response_to_a_head_request_has_no_body() {
        verifier.expectResponse(true);

        String head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

        assertThat(verify(head + "x").end()).isEqualTo(head.length());
        assertThat(verifier.isComplete()).isTrue();
    }

    @Test
    void body_without_length_or_chunks_is_passed_on_and_is_not_complete_before_its_connection_ends() {
        String response = "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000\r\n: \0";

        assertThat(verify(response)).isEqualTo(new ResponseVerifier.Result(0, response.length(), Optional.empty()));
        assertThat(verifier.isComplete()).isFalse();
    }

    @Test
    void what_precedes_a_malformed_chunk_is_passed_on_and_nothing_after_it() {
        String sound = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n";

        assertThat(verify(sound + "z\r\n").end()).isEqualTo(sound.length());
        assertThat(verify("5\r\nwhole\r\n").length()).isZero();
    }

    @Test
    void second_response_on_a_connection_is_verified_like_the_first() {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
        verify(response);
        verifier.expectResponse(false);

        assertThat(verify(response).length()).isEqualTo(response.length());
        assertThat(verify("HTTP/1.1 000 \r\n").failure()).isPresent();
    }
}
