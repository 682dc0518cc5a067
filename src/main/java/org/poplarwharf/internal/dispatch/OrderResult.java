package org.poplarwharf.internal.dispatch;

/** The result of an order to a target. The names of the constants are logged. */
public enum OrderResult {
    /** The target accepted the order and is carrying it out. */
    ACCEPTED,
    /** The target was already in the ordered state, or reached it immediately. */
    HOLDS,
    /** The target is carrying out another order, or its count of accepted orders differs from the expected one. */
    CONFLICT,
    /** The target refused the order permanently, or the order wasn't sent. */
    REFUSED,
    /** No response arrived: the target may carry out the order now or later. */
    UNKNOWN
}
