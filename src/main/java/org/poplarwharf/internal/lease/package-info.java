/**
 * The lease that elects the one node that decides on placement for a deployment's engines and issues orders to them.
 */
package org.poplarwharf.internal.lease;
