/** At-most-once calls: each is claimed on the cell's stream and then dispatched at most once. */
package org.poplarwharf.internal.claim;
