/**
 * Stand-ins for the platform, workers and backend servers, for tests and the demo.
 */
package org.monsoonrelay.standin;
