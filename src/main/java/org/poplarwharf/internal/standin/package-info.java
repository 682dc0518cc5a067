/** Stand-ins for external systems in tests and trials: log, VM list, weight store, engines, plain services and a faulty network. */
package org.poplarwharf.internal.standin;
