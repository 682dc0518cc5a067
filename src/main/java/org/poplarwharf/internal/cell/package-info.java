/** Manages the cells of a node: leases, replica planning, load and unload orders, and polling of engines and VMs. */
package org.poplarwharf.internal.cell;
