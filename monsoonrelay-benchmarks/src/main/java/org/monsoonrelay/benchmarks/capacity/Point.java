package org.monsoonrelay.benchmarks.capacity;

/**
 * One measurement at one size. Immutable.
 *
 * @param size the size
 * @param value what was measured
 */
record Point(double size, double value) {

}
