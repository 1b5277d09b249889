/**
 * Clients of the platform, the workers and the backend servers, over HTTP.
 */
package org.monsoonrelay.adapters.platform;
