/**
 * Tests of the routing of callers' requests.
 */
package org.monsoonrelay.logic.routing;
