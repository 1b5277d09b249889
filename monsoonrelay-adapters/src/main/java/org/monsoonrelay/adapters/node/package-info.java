/**
 * Functions common to all daemons: following the control version and the host list,
 * settings, process metrics and graceful shutdown.
 */
package org.monsoonrelay.adapters.node;
