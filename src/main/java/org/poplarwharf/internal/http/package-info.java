/** HTTP over one event loop: calls to outside systems and connections to targets. Decides nothing about requests. */
package org.poplarwharf.internal.http;
