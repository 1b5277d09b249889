/**
 * Measures how the choice of a backend server spreads requests of many gateways.
 */
package org.monsoonrelay.benchmarks.routing;
