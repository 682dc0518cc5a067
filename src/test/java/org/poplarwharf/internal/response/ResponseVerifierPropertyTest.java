package org.poplarwharf.internal.response;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;
import org.poplarwharf.support.MutatedResponses;

/**
 * Mutates sound responses and compares the verdict on them with that of a grammar written as regular expressions, which shares
 * no code with the verifier.
 */
class ResponseVerifierPropertyTest {
    private static final String TOKEN = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
    private static final String FIELD = TOKEN + ":" + TEXT + "(?:\\r\\n[ \\t]" + TEXT + ")*\\r\\n";
    private static final String STATUS_LINE = "HTTP/1\\.([0-9]) ([1-5][0-9][0-9])(?: " + TEXT + ")?\\r\\n";
    private static final Pattern HEAD = Pattern.compile(STATUS_LINE + "((?:" + FIELD + ")*)\\r\\n");
    private static final String QUOTED =
            "\"(?:[\\t\\x20!\\x23-\\x5b\\x5d-\\x7e\\x80-\\xff]|\\\\" + "[\\t\\x20-\\x7e\\x80-\\xff])*\"";
    private static final String EXTENSION =
            "[ \\t]*;[ \\t]*" + TOKEN + "(?:[ \\t]*=[ \\t]*(?:" + TOKEN + "|" + QUOTED + "))?";
    private static final Pattern CHUNK_LINE = Pattern.compile("([0-9a-fA-F]+)(?:" + EXTENSION + ")*\\r\\n");
    private static final Pattern TRAILERS = Pattern.compile("(?:" + FIELD + ")*\\r\\n");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    enum Verdict {
        BROKEN,
        UNFINISHED,
        COMPLETE
    }

    @Provide
    Arbitrary<String> mutatedResponses() {
        return MutatedResponses.arbitrary();
    }

    @Property(tries = 20_000)
    void verdict_is_that_of_the_grammar(@ForAll("mutatedResponses") String response) {
        Verdict verdict = verify(response, response.length()).verdict();

        assertThat(verdict).isEqualTo(verdictOfGrammar(response));
        Statistics.collect(verdict);
        Statistics.coverage(coverage -> {
            coverage.check(Verdict.BROKEN).percentage(share -> share > 20);
            coverage.check(Verdict.COMPLETE).percentage(share -> share > 20);
        });
    }

    @Property(tries = 5_000)
    void result_does_not_depend_on_how_the_bytes_are_divided(
            @ForAll("mutatedResponses") String response, @ForAll @IntRange(min = 1, max = 40) int readBytes) {
        Outcome whole = verify(response, response.length());
        Outcome divided = verify(response, readBytes);

        assertThat(divided.verdict()).isEqualTo(whole.verdict());
        if (whole.verdict() == Verdict.COMPLETE) {
            assertThat(divided.passed()).isEqualTo(whole.passed());
        }
    }

    private record Outcome(Verdict verdict, String passed) {}

    private static Outcome verify(String response, int readBytes) {
        ResponseVerifier verifier = new ResponseVerifier();
        byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream passed = new ByteArrayOutputStream();
        for (int start = 0; start < bytes.length && !verifier.isComplete(); start += readBytes) {
            byte[] read = Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + readBytes));
            ResponseVerifier.Result result = verifier.verify(ByteBuffer.wrap(read));
            passed.write(read, result.start(), result.length());
            if (result.failure().isPresent()) {
                return new Outcome(Verdict.BROKEN, passed.toString(StandardCharsets.ISO_8859_1));
            }
        }
        return new Outcome(
                verifier.isComplete() ? Verdict.COMPLETE : Verdict.UNFINISHED,
                passed.toString(StandardCharsets.ISO_8859_1));
    }

    /** A response without length or chunks is unfinished here, since its connection has not ended. */
    private static Verdict verdictOfGrammar(String response) {
        int start = 0;
        String interimVersion = "";
        while (true) {
            var head = HEAD.matcher(response).region(start, response.length());
            if (!head.lookingAt()) {
                return verdictOfIncomplete(response.substring(start));
            }
            int status = Integer.parseInt(head.group(2));
            String version = head.group(1);
            if (status == 101 || !(interimVersion.isEmpty() || interimVersion.equals(version))) {
                return Verdict.BROKEN;
            }
            List<String> lengths = values(head.group(3), "content-length");
            List<String> codings = values(head.group(3), "transfer-encoding");
            if (!isSoundFraming(lengths, codings, version)) {
                return Verdict.BROKEN;
            }
            start = head.end();
            if (status < 200) {
                interimVersion = version;
                continue;
            }
            if (status == 204 || status == 304) {
                return Verdict.COMPLETE;
            }
            if (!codings.isEmpty()) {
                return verdictOfChunks(response, start);
            }
            boolean whole = !lengths.isEmpty() && response.length() - start >= Long.parseLong(lengths.getFirst());
            return whole ? Verdict.COMPLETE : Verdict.UNFINISHED;
        }
    }

    private static boolean isSoundFraming(List<String> lengths, List<String> codings, String version) {
        boolean isChunked = codings.stream().allMatch(coding -> coding.equalsIgnoreCase("chunked"));
        boolean isAllowed = codings.isEmpty() || !version.equals("0");
        return lengths.size() + codings.size() <= 1
                && lengths.stream().allMatch(LENGTH.asMatchPredicate())
                && isChunked
                && isAllowed;
    }

    private static List<String> values(String fields, String name) {
        return Arrays.stream(fields.replaceAll("\\r\\n(?=[ \\t])", " ").split("\\r\\n"))
                .filter(line -> line.toLowerCase(java.util.Locale.ROOT).startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .toList();
    }

    private static Verdict verdictOfChunks(String response, int bodyStart) {
        int start = bodyStart;
        while (true) {
            var line = CHUNK_LINE.matcher(response).region(start, response.length());
            if (!line.lookingAt()) {
                return response.indexOf('\n', start) < 0 ? Verdict.UNFINISHED : Verdict.BROKEN;
            }
            if (line.group(1).replaceFirst("^0+", "").length() > 15) {
                return Verdict.BROKEN;
            }
            long sizeBytes = Long.parseLong(line.group(1), 16);
            if (sizeBytes == 0) {
                var trailers = TRAILERS.matcher(response).region(line.end(), response.length());
                return trailers.lookingAt()
                        ? Verdict.COMPLETE
                        : verdictOfIncompleteFields(response.substring(line.end()));
            }
            long end = line.end() + sizeBytes;
            if (end >= response.length()) {
                return Verdict.UNFINISHED;
            }
            String behind = response.substring((int) end);
            if (!behind.startsWith("\r\n")) {
                return behind.indexOf('\n') < 0 ? Verdict.UNFINISHED : Verdict.BROKEN;
            }
            start = (int) end + 2;
        }
    }

    /** Returns whether complete lines of an incomplete head are sound so far; an incomplete last line may still become so. */
    private static Verdict verdictOfIncomplete(String text) {
        int end = text.indexOf('\n') + 1;
        if (end == 0) {
            return Verdict.UNFINISHED;
        }
        boolean isStatusLine = text.substring(0, end).matches(STATUS_LINE) && !text.startsWith(" 101", 8);
        return isStatusLine ? verdictOfIncompleteFields(text.substring(end)) : Verdict.BROKEN;
    }

    private static Verdict verdictOfIncompleteFields(String text) {
        String complete = text.substring(0, text.lastIndexOf('\n') + 1);
        if (!complete.matches("(?s)(?:" + FIELD + ")*")) {
            return Verdict.BROKEN;
        }
        boolean repeated = values(complete, "content-length").size() > 1
                || values(complete, "transfer-encoding").size() > 1;
        return repeated ? Verdict.BROKEN : Verdict.UNFINISHED;
    }
}
