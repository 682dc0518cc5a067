/** Connections to targets, on the threads that carry traffic. */
package org.poplarwharf.internal.target;
