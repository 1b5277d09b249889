/**
 * Tests of the routing of caller requests to backend servers.
 */
package org.monsoonrelay.logic.routing;
