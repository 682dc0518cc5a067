/** Configuration: parses and merges files, decides which changes are accepted and provides the current configuration. */
package org.poplarwharf.internal.config;
