/**
 * Tests of the capacity measurements.
 */
package org.monsoonrelay.benchmarks.capacity;
