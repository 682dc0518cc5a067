package org.poplarwharf.internal.response;

/**
 * The first line of a response (RFC 9112, section 4). Immutable and thread-safe.
 *
 * @param minorVersion the digit after {@code HTTP/1.}
 * @param status 100 to 599; no other number is a status (RFC 9110, section 15)
 */
record StatusLine(int minorVersion, int status) {
    private static final String VERSION = "HTTP/1.";
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    /** The length of the version and the space after it, which are the same in all responses of a server. */
    static final int VERSION_BYTES = VERSION.length() + 2;

    private static final int STATUS_END = VERSION_BYTES + 3;

    /**
     * Parses a complete line. The reason phrase may be missing, and so may the space before it, which many servers omit then.
     */
    static StatusLine parse(LineBuffer line) throws BrokenResponseException {
        if (line.length() < VERSION_BYTES
                || !line.text(0, VERSION.length()).equals(VERSION)
                || !Grammar.isDigit(line.at(VERSION.length()))
                || line.at(VERSION_BYTES - 1) != ' ') {
            throw new BrokenResponseException("no HTTP version in the status line");
        }
        boolean endsAfterCode = line.length() == STATUS_END;
        if (line.length() < STATUS_END || !(endsAfterCode || line.at(STATUS_END) == ' ')) {
            throw new BrokenResponseException("status code that is not three digits");
        }
        int status = 0;
        for (int i = VERSION_BYTES; i < STATUS_END; i++) {
            if (!Grammar.isDigit(line.at(i))) {
                throw new BrokenResponseException("status code that is not three digits");
            }
            status = 10 * status + line.at(i) - '0';
        }
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw new BrokenResponseException("status code outside of 100 to 599");
        }
        if (!Grammar.isText(line, STATUS_END, line.length())) {
            throw new BrokenResponseException("control byte in the reason phrase");
        }
        return new StatusLine(line.at(VERSION.length()) - '0', status);
    }

    boolean isInterim() {
        return status < 200;
    }
}
