/** The configuration: its files, their merge, which change is accepted, and what is in force. */
package org.poplarwharf.internal.config;
