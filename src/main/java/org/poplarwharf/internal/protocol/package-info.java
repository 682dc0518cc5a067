/** HTTP clients of the platform's log, of its VM list and of the engines. */
package org.poplarwharf.internal.protocol;
