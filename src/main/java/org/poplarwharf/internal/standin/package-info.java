/** Small stand-ins for the outside systems: log, VM list, weight store, engines, plain services and a faulty network. */
package org.poplarwharf.internal.standin;
