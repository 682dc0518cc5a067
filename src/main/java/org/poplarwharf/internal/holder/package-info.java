/**
 * The node that decides for engines, and the way of the others to it: wishes go to the holder over one connection a
 * node, grants come back; while there is no holder, nodes serve what is loaded by what they know themselves.
 */
package org.poplarwharf.internal.holder;
