package org.poplarwharf.internal.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.poplarwharf.internal.failure.Reporter;

/**
 * The record of a lease on the log. Immutable and thread-safe.
 *
 * @param holder the id of the holder's node
 * @param incarnation the id of the holder's process, which changes with each start
 * @param address where the holder accepts connections from other nodes
 * @param era the era of the log in which this record was appended
 * @param fencingNumber the number of the claim that this record makes or renews; increases with each claim, also over
 *     restores of the log. Orders carry the number of the first claim since another node may have held the lease
 * @param quietMillis how long after this record its author issues no orders, because the previous holder might still
 *     issue some
 * @param resigned whether the holder has given up the lease and issues no more orders
 */
public record LeaseRecord(
        String holder,
        String incarnation,
        String address,
        long era,
        long fencingNumber,
        long quietMillis,
        boolean resigned) {
    private static final ObjectMapper JSON =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    /** Returns the next record of the same author. */
    LeaseRecord renewed(long latestEra, long latestFencingNumber, long latestQuietMillis, boolean nowResigned) {
        return new LeaseRecord(
                holder, incarnation, address, latestEra, latestFencingNumber, latestQuietMillis, nowResigned);
    }

    byte[] encode() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw Reporter.malformedMessage("a lease record", e);
        }
    }

    /**
     * Decodes a record; the result is empty if an incompatible release or another writer has written it. The term of its author is still
     * respected, counted from when the record was read.
     */
    static Optional<LeaseRecord> decode(byte[] value) {
        try {
            return Optional.ofNullable(JSON.readValue(value, LeaseRecord.class))
                    .filter(record -> record.holder != null && record.incarnation != null && record.address != null);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
