/** Connections between nodes and the messages that they exchange. */
package org.poplarwharf.internal.peer;
