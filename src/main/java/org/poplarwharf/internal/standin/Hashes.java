package org.poplarwharf.internal.standin;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.poplarwharf.internal.failure.Reporter;

/** Hashes that identify request bodies in journals and responses. Stateless and thread-safe. */
public final class Hashes {
    private Hashes() {}

    /** Returns the SHA-256 of the bytes in hexadecimal. */
    public static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw Reporter.internal("Hashing", e);
        }
    }
}
