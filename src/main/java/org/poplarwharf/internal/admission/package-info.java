/** Decides at the holder of a cell which requests wait, which are refused, and which get a place. */
package org.poplarwharf.internal.admission;
