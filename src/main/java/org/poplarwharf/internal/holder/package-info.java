/**
 * The lease holder, which decides on placement for all engines, and the connections of the other nodes to it. Each node
 * sends its placement requests to the holder over one connection and receives the grants on it. While there is no
 * holder, nodes send requests to targets that have the model loaded already, according to their own view.
 */
package org.poplarwharf.internal.holder;
