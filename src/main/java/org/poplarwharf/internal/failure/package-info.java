/** Makes and words every failure. */
package org.poplarwharf.internal.failure;
