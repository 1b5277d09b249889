/**
 * Tests of routing under load, in a seeded model around the real routers.
 */
package org.monsoonrelay.benchmarks.routing;
