/** Follows topics of the platform's log that keep the newest record of each key. */
package org.poplarwharf.internal.topic;
