/** The interfaces that plug-ins implement: the ports to the platform and to engines, and the policies. */
package org.poplarwharf.plugins;
