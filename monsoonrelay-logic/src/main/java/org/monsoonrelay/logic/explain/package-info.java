/**
 * Reconstructs the timeline of one job, task or request from the log lines of any number
 * of processes, and explains its outcome.
 */
package org.monsoonrelay.logic.explain;
