package org.poplarwharf.internal.response;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Decides whether the bytes that a connection brings are HTTP/1 responses: by the grammar of RFC 9112 for the status line, the
 * field lines, the framing of the body and the trailers, and by the status codes of RFC 9110. It stands before the decoder of
 * the library in use, which gets only what is sound, and no interim responses. Decoders let through what this class stops:
 *
 * <ul>
 *   <li>Netty takes any number for a status code. It takes the name of a field to end at a blank, drops the rest up to the
 *       colon, and so reads {@code Content-Length : 4} as a length. It ignores bytes before the status line, reads the status
 *       line by white space of any kind, and leaves a transfer coding other than {@code chunked} in the body.
 *   <li>ActiveJ takes any bytes up to the colon for a name, and any for a value. It reads three digits of a longer status code,
 *       the last of several lengths, skips trailers unread, and takes an interim response for the final one.
 * </ul>
 *
 * <p>This class in turn lets the following through:
 *
 * <ul>
 *   <li>A status line that ends after the status code, without the space that the grammar has there: common, and unambiguous.
 *   <li>{@code Content-Length} or {@code Transfer-Encoding} in a response that has no body by its status: the body is absent
 *       whatever they say (RFC 9112, section 6.3), and servers do send a length of 0 with 204.
 *   <li>Versions HTTP/1.2 to HTTP/1.9, which a recipient processes as HTTP/1.1 (RFC 9110, section 2.5). ActiveJ refuses them.
 *   <li>Fields in trailers that belong in a head: both decoders drop them.
 *   <li>Heads and lines that are longer than the decoder accepts: the decoder refuses those itself.
 * </ul>
 *
 * <p>Invariants: no byte of a malformed head is passed on that would complete it. After a failure nothing is passed on. The
 * result does not depend on how the bytes are divided into reads. Not thread-safe.
 */
public final class ResponseVerifier {
    /** More than any decoder in use accepts, so that only an interim response, which no decoder sees, is limited by it. */
    private static final int MAX_SECTION_BYTES = 1 << 18;

    /** A server sends a few interim responses at most. */
    private static final int MAX_INTERIM_COUNT = 16;

    private static final int SWITCHING_PROTOCOLS = 101;

    private final LineBuffer line = new LineBuffer();
    private Part part = Part.STATUS_LINE;
    private Optional<BrokenResponseException> failure = Optional.empty();
    private Optional<StatusLine> status = Optional.empty();
    private FieldSection fields = new FieldSection();
    private FieldSection trailers = new FieldSection();
    private boolean isHeadRequest;
    private boolean complete;
    private int interimCount;
    private int interimVersion;
    private int sectionBytes;
    private long remainingBytes;

    /**
     * How many bytes of the status line the decoder has. A status line that ends before its status code is passed on, as bytes
     * that were held back might not fit into the next read. If it turns out to be that of an interim response, as many bytes of
     * the next status line are dropped in their place: up to the status code both are the same.
     */
    private int passedStatusLineBytes;

    private enum Part {
        STATUS_LINE,
        FIELDS,
        BODY,
        BODY_TO_CONNECTION_END,
        CHUNK_LINE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    /**
     * What is to be done with the bytes of a read: those between two indexes go on to the decoder, those before are dropped. If
     * there is no failure, those behind follow the end of a response and have not been verified. Immutable.
     *
     * @param start counted from the first byte of the read
     * @param failure why the bytes are no response; the connection must be closed
     */
    public record Result(int start, int end, Optional<BrokenResponseException> failure) {
        /** Returns the number of bytes that go on to the decoder. */
        public int length() {
            return end - start;
        }
    }

    /** Expects the response to a request; one to a request with the method {@code HEAD} has no body. */
    public void expectResponse(boolean isHead) {
        isHeadRequest = isHead;
        complete = false;
    }

    /** Returns whether a final response has ended and no byte of another one has been verified since. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns whether the body in progress ends with the connection, so that nothing but the connection tells its end. */
    public boolean isDelimitedByConnectionEnd() {
        return part == Part.BODY_TO_CONNECTION_END;
    }

    /** Returns whether the head that was verified last delimits its body by a transfer coding with blanks or lines after it. */
    public boolean hasPaddedTransferCoding() {
        return fields.isTransferEncodingPadded();
    }

    /** Verifies the next bytes of the connection, up to the end of a final response at most. */
    public Result verify(ByteBuffer bytes) {
        if (failure.isPresent()) {
            return new Result(0, 0, failure);
        }
        complete = false;
        ByteBuffer read = bytes.slice();
        int passStart = 0;
        int soundEnd = 0;
        try {
            while (read.hasRemaining() && !complete) {
                passStart = verifyNextPart(read, passStart);
                if (isHeadVerified()) {
                    soundEnd = read.position();
                }
            }
        } catch (BrokenResponseException e) {
            failure = Optional.of(e);
            return new Result(passStart, Math.max(passStart, soundEnd), failure);
        }
        rememberPassedStatusLine();
        return new Result(passStart, Math.max(passStart, read.position()), Optional.empty());
    }

    /** Verifies up to the end of a part of the response or of the read, and returns where what is passed on starts. */
    private int verifyNextPart(ByteBuffer read, int passStart) throws BrokenResponseException {
        int lineStart = read.position() - line.length();
        boolean wasStatusLine = part == Part.STATUS_LINE;
        boolean wasInterim = isInInterimResponse();
        verifyPart(read);
        if (wasInterim || isInInterimResponse()) {
            return read.position();
        }
        return wasStatusLine ? Math.clamp(lineStart + passedStatusLineBytes, 0, read.limit()) : passStart;
    }

    private boolean isHeadVerified() {
        return complete || (part != Part.STATUS_LINE && part != Part.FIELDS);
    }

    private boolean isInInterimResponse() {
        return status.map(StatusLine::isInterim).orElseGet(this::beginsInterimStatus);
    }

    private boolean beginsInterimStatus() {
        return part == Part.STATUS_LINE
                && line.length() > StatusLine.VERSION_BYTES
                && line.at(StatusLine.VERSION_BYTES) == '1';
    }

    private void rememberPassedStatusLine() {
        if (part == Part.STATUS_LINE && !beginsInterimStatus()) {
            passedStatusLineBytes = Math.max(passedStatusLineBytes, line.length());
        }
    }

    private void verifyPart(ByteBuffer bytes) throws BrokenResponseException {
        switch (part) {
            case STATUS_LINE -> {
                if (readLine(bytes)) {
                    verifyStatusLine();
                }
            }
            case FIELDS -> {
                if (readLine(bytes)) {
                    verifyField();
                }
            }
            case TRAILERS -> {
                if (readLine(bytes)) {
                    verifyTrailer();
                }
            }
            case CHUNK_LINE -> {
                if (readLine(bytes)) {
                    beginChunk(ChunkLine.parseSize(line));
                }
            }
            case CHUNK_END -> {
                if (readLine(bytes)) {
                    verifyChunkEnd();
                }
            }
            case BODY -> {
                if (skipBody(bytes)) {
                    endResponse();
                }
            }
            case CHUNK -> {
                if (skipBody(bytes)) {
                    enter(Part.CHUNK_END);
                }
            }
            case BODY_TO_CONNECTION_END -> bytes.position(bytes.limit());
        }
    }

    private boolean readLine(ByteBuffer bytes) throws BrokenResponseException {
        int start = bytes.position();
        boolean hasLine = line.readLine(bytes);
        sectionBytes += bytes.position() - start;
        if (sectionBytes > MAX_SECTION_BYTES) {
            throw new BrokenResponseException("head, trailers or line of a chunk without end");
        }
        return hasLine;
    }

    private boolean skipBody(ByteBuffer bytes) {
        int skippedBytes = (int) Math.min(bytes.remaining(), remainingBytes);
        bytes.position(bytes.position() + skippedBytes);
        remainingBytes -= skippedBytes;
        return remainingBytes == 0;
    }

    private void enter(Part next) {
        part = next;
        line.clear();
        if (next != Part.FIELDS) {
            sectionBytes = 0;
        }
    }

    private void verifyStatusLine() throws BrokenResponseException {
        StatusLine received = StatusLine.parse(line);
        if (received.status() == SWITCHING_PROTOCOLS) {
            throw new BrokenResponseException("protocol switched without a request for it");
        }
        if (interimCount > 0 && received.minorVersion() != interimVersion) {
            throw new BrokenResponseException("version that differs from that of the interim response before");
        }
        if (received.isInterim()) {
            interimCount++;
            interimVersion = received.minorVersion();
        }
        if (interimCount > MAX_INTERIM_COUNT) {
            throw new BrokenResponseException("interim responses without end");
        }
        status = Optional.of(received);
        fields = new FieldSection();
        enter(Part.FIELDS);
    }

    private void verifyField() throws BrokenResponseException {
        if (!line.isEmpty()) {
            fields.add(line);
            line.clear();
            return;
        }
        StatusLine head = status.orElseThrow();
        BodyFraming framing = BodyFraming.of(head, fields, isHeadRequest);
        if (head.isInterim()) {
            status = Optional.empty();
            enter(Part.STATUS_LINE);
            return;
        }
        switch (framing) {
            case BodyFraming.None none -> endResponse();
            case BodyFraming.Chunks chunks -> enter(Part.CHUNK_LINE);
            case BodyFraming.ConnectionEnd end -> enter(Part.BODY_TO_CONNECTION_END);
            case BodyFraming.Length length -> beginBody(length.bytes());
        }
    }

    private void beginBody(long lengthBytes) {
        remainingBytes = lengthBytes;
        if (lengthBytes == 0) {
            endResponse();
        } else {
            enter(Part.BODY);
        }
    }

    private void beginChunk(long sizeBytes) {
        remainingBytes = sizeBytes;
        if (sizeBytes == 0) {
            trailers = new FieldSection();
            enter(Part.TRAILERS);
        } else {
            enter(Part.CHUNK);
        }
    }

    private void verifyChunkEnd() throws BrokenResponseException {
        if (!line.isEmpty()) {
            throw new BrokenResponseException("chunk that is longer than its size");
        }
        enter(Part.CHUNK_LINE);
    }

    private void verifyTrailer() throws BrokenResponseException {
        if (line.isEmpty()) {
            endResponse();
        } else {
            trailers.add(line);
            line.clear();
        }
    }

    private void endResponse() {
        enter(Part.STATUS_LINE);
        status = Optional.empty();
        interimCount = 0;
        passedStatusLineBytes = 0;
        complete = true;
    }
}
