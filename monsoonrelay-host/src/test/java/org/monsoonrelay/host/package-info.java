/**
 * Tests of the program of a host.
 */
package org.monsoonrelay.host;
