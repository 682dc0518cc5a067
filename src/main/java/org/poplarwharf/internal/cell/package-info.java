/** The lease of a cell, loading and unloading, settling of orders, and the watch over targets. */
package org.poplarwharf.internal.cell;
