/**
 * Decides whether the bytes that a connection brings are an HTTP response, for all that read responses. No routing, no
 * retries, no clock.
 */
package org.poplarwharf.internal.response;
