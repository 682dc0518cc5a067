/** The adapters to the platform's log and VM list and to the engines, over HTTP. */
package org.poplarwharf.internal.protocol;
