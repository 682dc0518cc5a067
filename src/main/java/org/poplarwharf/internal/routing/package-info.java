/** Policies that pick the replica for a request. */
package org.poplarwharf.internal.routing;
