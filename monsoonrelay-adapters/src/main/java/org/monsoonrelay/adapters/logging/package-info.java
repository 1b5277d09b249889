/**
 * Logs as JSON lines.
 */
package org.monsoonrelay.adapters.logging;
