/** Immutable data types for a deployment: routes, services, engines, models, and the targets that are up. */
package org.poplarwharf.internal.fleet;
