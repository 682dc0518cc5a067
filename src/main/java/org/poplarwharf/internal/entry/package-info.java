/** Callers' connections: requests, deadlines, retries, streams and answers. */
package org.poplarwharf.internal.entry;
