/** Recognizes requests that crash the targets that run them. */
package org.poplarwharf.internal.crash;
