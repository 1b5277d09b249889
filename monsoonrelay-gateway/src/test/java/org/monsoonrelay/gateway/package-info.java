/**
 * Tests of the gateway.
 */
package org.monsoonrelay.gateway;
