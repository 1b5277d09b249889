/**
 * Tests of the gateway program.
 */
package org.monsoonrelay.gateway;
