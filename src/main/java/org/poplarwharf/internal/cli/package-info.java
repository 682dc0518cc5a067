/** The commands of the binary and their options. */
package org.poplarwharf.internal.cli;
