/** Configuration: parses and merges files, decides on changes and provides the current configuration. */
package org.poplarwharf.internal.config;
