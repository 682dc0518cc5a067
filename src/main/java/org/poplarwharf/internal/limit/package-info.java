/** Limits that hold for all nodes together. */
package org.poplarwharf.internal.limit;
