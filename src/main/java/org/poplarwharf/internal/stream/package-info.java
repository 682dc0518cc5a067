/** What all nodes know of streams that their callers may resume at any node. */
package org.poplarwharf.internal.stream;
