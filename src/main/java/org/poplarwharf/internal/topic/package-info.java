/** Reads topics of the platform's log that keep the latest record of each key, and follows their changes. */
package org.poplarwharf.internal.topic;
