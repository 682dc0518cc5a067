/** The life of a node: settings, threads, roles, logs and metrics. */
package org.poplarwharf.internal.kernel;
