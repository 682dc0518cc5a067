/** Encodes messages between nodes and records in the log as MessagePack. */
package org.poplarwharf.internal.codec;
