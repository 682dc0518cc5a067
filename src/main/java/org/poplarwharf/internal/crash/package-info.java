/** Recognizes requests, and parts of prompts, that crash the targets that run them. */
package org.poplarwharf.internal.crash;
