/**
 * Accepts and cancels jobs for callers and reports their states.
 */
package org.monsoonrelay.logic.submission;
