package org.poplarwharf.internal.place;

import org.poplarwharf.internal.admission.AdmissionRequest;

/**
 * A wish for a place. Immutable and thread-safe.
 *
 * @param admission its request id names the wish for {@link AdmissionClient#cancel}
 * @param deadlineMillis when the caller's deadline passes, on the monotonic clock
 * @param priority the class's priority, for places that are taken without a holder
 */
public record PermitRequest(AdmissionRequest admission, long deadlineMillis, int priority) {}
