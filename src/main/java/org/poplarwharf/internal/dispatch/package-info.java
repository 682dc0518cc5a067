/**
 * Decides for all engines of a deployment, at the one node that holds the lease: which target runs a request, which
 * request waits or is refused, and which models and adapters targets load. No network and no clock of its own.
 *
 * <p>Answers this load: a few models take most requests and change through the day, many are asked for rarely, a target
 * holds a handful, and a load takes from a third of a second to many seconds.
 */
package org.poplarwharf.internal.dispatch;
