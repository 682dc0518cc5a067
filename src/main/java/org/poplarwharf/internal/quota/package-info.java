/**
 * What the requests of client accounts may use, over all nodes together: the pool of the lease holder, what nodes keep of
 * it, and their shares while no holder responds. No network, no clock.
 */
package org.poplarwharf.internal.quota;
