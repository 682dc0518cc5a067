/** Routing policies that select the replica for a request. */
package org.poplarwharf.internal.routing;
