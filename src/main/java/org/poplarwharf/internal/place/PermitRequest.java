package org.poplarwharf.internal.place;

import org.poplarwharf.internal.admission.AdmissionRequest;

/**
 * A request for a permit. Immutable and thread-safe.
 *
 * @param admissionRequest the admission request; its request id is the one to pass to {@link AdmissionClient#cancel}
 * @param deadlineMillis the caller's deadline on the monotonic clock
 * @param priority priority of the request class, for permits that are acquired without a lease holder
 */
public record PermitRequest(AdmissionRequest admissionRequest, long deadlineMillis, int priority) {}
