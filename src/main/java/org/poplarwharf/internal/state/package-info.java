/** The records of a cell's stream and the pure fold that computes the cell's state from them. */
package org.poplarwharf.internal.state;
