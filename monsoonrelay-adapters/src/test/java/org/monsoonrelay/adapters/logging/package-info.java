/**
 * Tests of the logs, the decision metrics and the exit codes of programs.
 */
package org.monsoonrelay.adapters.logging;
