/**
 * The entry to a fleet behind host and path routes: takes callers' requests, forwards them unchanged to targets, and
 * gives answers back as they come. One event loop does all of it.
 */
package org.poplarwharf.internal.gateway;
