/**
 * Tests of the program of a host, as real processes against a platform in memory.
 */
package org.monsoonrelay.systemtests.host;
