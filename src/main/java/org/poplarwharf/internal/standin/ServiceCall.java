package org.poplarwharf.internal.standin;

import java.util.Optional;

/**
 * A call that the plain service stand-in executed. Immutable and thread-safe.
 *
 * @param callNumber number of the call in order of arrival, from 1
 * @param bodyHash SHA-256 of the body in hexadecimal
 */
public record ServiceCall(
        long callNumber, String method, String path, String bodyHash, Optional<String> idempotencyKey) {}
