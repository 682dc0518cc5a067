/** The interfaces that plug-ins implement: clients of the platform's services and of engines, and policies. */
package org.poplarwharf.plugins;
