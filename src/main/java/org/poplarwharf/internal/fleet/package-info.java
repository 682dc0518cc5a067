/** What a deployment serves: its routes, services, engines, models, and the targets that are up. Pure data. */
package org.poplarwharf.internal.fleet;
