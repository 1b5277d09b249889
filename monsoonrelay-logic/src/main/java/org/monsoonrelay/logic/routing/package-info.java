/**
 * Routing callers' requests: slots, queues, retries and membership of backend servers.
 */
package org.monsoonrelay.logic.routing;
