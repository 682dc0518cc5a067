/** Serves callers' HTTP requests: validation, deadlines, retries, streaming and responses. */
package org.poplarwharf.internal.entry;
