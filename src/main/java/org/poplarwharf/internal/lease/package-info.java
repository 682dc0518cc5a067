/** The lease by which one node at a time decides for a deployment's engines and orders them. */
package org.poplarwharf.internal.lease;
