/** Follows and writes a stream of the platform's log: batches, repeats, gaps, checkpoints. */
package org.poplarwharf.internal.log;
