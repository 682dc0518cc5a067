/** The records of a cell and the pure fold that makes its state. */
package org.poplarwharf.internal.state;
