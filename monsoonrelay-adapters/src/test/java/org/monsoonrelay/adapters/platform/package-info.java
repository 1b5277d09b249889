/**
 * Tests of the adapters to the platform and the backend servers.
 */
package org.monsoonrelay.adapters.platform;
