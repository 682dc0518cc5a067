/** The public facade of poplarwharf: a node, its failures and their codes. */
package org.poplarwharf;
