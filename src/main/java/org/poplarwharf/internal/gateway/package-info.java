/**
 * The reverse proxy of a fleet: accepts callers' requests, routes them by host and path, forwards them unchanged to
 * targets and streams the responses back. All of it runs on one event loop.
 */
package org.poplarwharf.internal.gateway;
