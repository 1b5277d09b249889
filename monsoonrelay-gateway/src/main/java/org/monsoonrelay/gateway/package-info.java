/**
 * The gateway: takes callers' requests and forwards them to backend servers.
 */
package org.monsoonrelay.gateway;
