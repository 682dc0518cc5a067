/** Finds a place on a replica for a request: here, at another node, or among the replicas last known. */
package org.poplarwharf.internal.place;
