/** Creates all failures with their codes and messages. */
package org.poplarwharf.internal.failure;
