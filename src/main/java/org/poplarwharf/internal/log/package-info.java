/**
 * Reads and appends to streams of the platform's log: batching, removal of duplicates, recovery from gaps, checkpoints.
 */
package org.poplarwharf.internal.log;
