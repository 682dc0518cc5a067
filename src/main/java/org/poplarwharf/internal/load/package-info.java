/** Load generation and the evaluation of load runs and placement policies. */
package org.poplarwharf.internal.load;
