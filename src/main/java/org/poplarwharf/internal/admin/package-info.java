/** The administration API: health and readiness checks, status, metrics, and changes by operators. */
package org.poplarwharf.internal.admin;
