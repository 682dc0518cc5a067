/** The command line interface: subcommands of the binary and their options. */
package org.poplarwharf.internal.cli;
