/**
 * Dispatches requests to the engines of a deployment. Runs on the lease holder and decides which target runs a request,
 * which requests are queued or refused, and which models and adapters each target loads. The package does no I/O and
 * reads no clock.
 *
 * <p>Designed for this workload: a few models receive most requests and change through the day, many models are
 * requested rarely, a target holds only a handful of models, and a load takes from a third of a second to many seconds.
 */
package org.poplarwharf.internal.dispatch;
