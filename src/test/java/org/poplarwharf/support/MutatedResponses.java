package org.poplarwharf.support;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Generates responses by mutations of sound ones. Stateless. */
public final class MutatedResponses {
    private static final List<String> SOUND = List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
            "HTTP/1.0 404\r\ncontent-length:0\r\n\r\n",
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 200 OK\r\nX-Note: a\r\n b\r\n\tc\r\nContent-Length: 3\r\n\r\nabc",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\nc;a=b;c=\"d\"\r\nid: 1\ndata: 2\r\n"
                    + "0\r\nX-Sum: 1\r\n\r\n",
            "HTTP/1.1 204 No Content\r\nX-Request-Id: r1\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end");

    /** Bytes that mean something in a head, of which mutations are made more often than of others. */
    private static final String SIGNIFICANT = "\r\n\0\u0001\u007f \t:;=,\"\\019aAzZ\u00e9HTP/.-+";

    private MutatedResponses() {}

    /** A change of the bytes at a place, which is counted modulo the length of the response. */
    private record Mutation(Kind kind, int place, char replacement) {
        enum Kind {
            REPLACE,
            INSERT,
            DELETE,
            REPEAT_LINE
        }

        String apply(String response) {
            if (response.isEmpty()) {
                return response;
            }
            int index = place % response.length();
            String before = response.substring(0, index);
            String after = response.substring(index);
            return switch (kind) {
                case REPLACE -> before + replacement + after.substring(1);
                case INSERT -> before + replacement + after;
                case DELETE -> before + after.substring(1);
                case REPEAT_LINE -> before + lineFrom(after) + after;
            };
        }

        private static String lineFrom(String text) {
            int end = text.indexOf('\n');
            return end < 0 ? text : text.substring(0, end + 1);
        }
    }

    /** Returns sound responses with up to three mutations, one character for each byte. */
    public static Arbitrary<String> arbitrary() {
        Arbitrary<Character> bytes = Arbitraries.oneOf(
                Arbitraries.of(SIGNIFICANT.chars().mapToObj(c -> (char) c).toList()),
                Arbitraries.chars().range('\0', '\u00ff'));
        Arbitrary<Mutation> mutations = Combinators.combine(
                        Arbitraries.of(Mutation.Kind.values()),
                        Arbitraries.integers().between(0, 500),
                        bytes)
                .as(Mutation::new);
        return Combinators.combine(
                        Arbitraries.of(SOUND), mutations.list().ofMinSize(0).ofMaxSize(3))
                .as((response, changes) -> {
                    String mutated = response;
                    for (Mutation change : changes) {
                        mutated = change.apply(mutated);
                    }
                    return mutated;
                });
    }
}
