/** MessagePack for messages between nodes and for records on the log. */
package org.poplarwharf.internal.codec;
