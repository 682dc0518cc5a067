package org.poplarwharf.internal.response;

/** What delimits the body of a response (RFC 9112, section 6.3). Immutable and thread-safe. */
sealed interface BodyFraming {
    /** The response ends with its head. */
    record None() implements BodyFraming {}

    /** The body has a stated length. */
    record Length(long bytes) implements BodyFraming {}

    /** The body is sent in chunks, of which the last is empty. */
    record Chunks() implements BodyFraming {}

    /** The body ends with its connection. */
    record ConnectionEnd() implements BodyFraming {}

    /**
     * Returns the framing that a head states.
     *
     * @param isHeadRequest whether the request had the method {@code HEAD}, whose responses have no body
     */
    static BodyFraming of(StatusLine status, FieldSection fields, boolean isHeadRequest)
            throws BrokenResponseException {
        boolean hasCoding = fields.transferEncoding().isPresent();
        if (hasCoding && fields.contentLength().isPresent()) {
            throw new BrokenResponseException("both a length and a transfer coding");
        }
        if (hasCoding && status.minorVersion() == 0) {
            throw new BrokenResponseException("transfer coding in a response of HTTP/1.0");
        }
        if (hasCoding && !fields.transferEncoding().get().equalsIgnoreCase("chunked")) {
            throw new BrokenResponseException("transfer coding that was not requested");
        }
        long lengthBytes = fields.contentLength().isPresent()
                ? parseLength(fields.contentLength().get())
                : 0;
        if (isHeadRequest || status.isInterim() || status.status() == 204 || status.status() == 304) {
            return new None();
        }
        if (hasCoding) {
            return new Chunks();
        }
        return fields.contentLength().isPresent() ? new Length(lengthBytes) : new ConnectionEnd();
    }

    private static long parseLength(String value) throws BrokenResponseException {
        boolean isNumber = !value.isEmpty() && value.chars().allMatch(Grammar::isDigit);
        if (!isNumber) {
            throw new BrokenResponseException("length of the body that is no number");
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new BrokenResponseException("length of the body that is too large");
        }
    }
}
