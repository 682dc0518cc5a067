/** A load generator and its report, for commands. */
package org.poplarwharf.internal.load;
