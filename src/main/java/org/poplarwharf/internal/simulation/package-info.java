/**
 * Simulates targets, the weight store and callers around a dispatcher, in virtual time and without a network, to compare
 * decisions on which models targets load.
 */
package org.poplarwharf.internal.simulation;
