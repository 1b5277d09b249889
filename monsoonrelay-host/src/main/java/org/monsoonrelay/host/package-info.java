/**
 * The program of a host on the platform: gateway and scheduler in one process.
 */
package org.monsoonrelay.host;
