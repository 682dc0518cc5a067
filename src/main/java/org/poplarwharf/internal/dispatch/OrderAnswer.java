package org.poplarwharf.internal.dispatch;

/** How a target took an order. */
public enum OrderAnswer {
    /** It is being carried out. */
    ACCEPTED,
    /** What it asks for holds now. */
    HOLDS,
    /** Another order is under way, or the target has accepted other orders than expected. */
    CONFLICT,
    /** It was refused for good, or did not arrive. */
    REFUSED,
    /** No answer: it may be carried out now or later. */
    UNKNOWN
}
