/**
 * Logging as JSON lines, decision logs and their metrics, and the exit codes of programs.
 */
package org.monsoonrelay.adapters.logging;
