/** The node kernel: life cycle, settings, threads, roles, logs and metrics. */
package org.poplarwharf.internal.kernel;
