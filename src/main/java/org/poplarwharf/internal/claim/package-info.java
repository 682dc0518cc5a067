/** Calls that may not be repeated: claimed on the cell's stream, then dispatched at most once. */
package org.poplarwharf.internal.claim;
