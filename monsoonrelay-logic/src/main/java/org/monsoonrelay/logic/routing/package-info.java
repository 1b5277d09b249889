/**
 * Routing of caller requests to backend servers: slots, queueing, retries, and the pool
 * of available servers.
 */
package org.monsoonrelay.logic.routing;
