/**
 * Tests of the ports to the platform and of what follows its tables.
 */
package org.monsoonrelay.logic.platform;
