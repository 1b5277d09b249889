/**
 * The gateway: accepts requests from callers and forwards them to backend servers.
 */
package org.monsoonrelay.gateway;
