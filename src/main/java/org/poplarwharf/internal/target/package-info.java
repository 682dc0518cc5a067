/** Connections to targets, used on the traffic threads. */
package org.poplarwharf.internal.target;
