/**
 * Admission control at the lease holder of a cell: decides which requests wait, are refused, or are granted a
 * permit.
 */
package org.poplarwharf.internal.admission;
