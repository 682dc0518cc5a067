/** The public API of poplarwharf: the node, its exception and the failure codes. */
package org.poplarwharf;
