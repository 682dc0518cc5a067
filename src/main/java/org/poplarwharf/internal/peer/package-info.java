/** Links between nodes and the messages on them. */
package org.poplarwharf.internal.peer;
