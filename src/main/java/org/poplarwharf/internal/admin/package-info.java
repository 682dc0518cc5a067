/** The administration API: health, status, metrics, and the changes that operators make. */
package org.poplarwharf.internal.admin;
