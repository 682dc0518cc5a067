/** Policies that decide how long idle models stay loaded. */
package org.poplarwharf.internal.idle;
