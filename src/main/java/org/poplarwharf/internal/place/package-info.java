/** Acquires permits for requests: from this node, from another node, or for one of the last known replicas. */
package org.poplarwharf.internal.place;
