/** HTTP on one event loop: calls to outside systems and connections to targets. Contains no routing or retry logic. */
package org.poplarwharf.internal.http;
