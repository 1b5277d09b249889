/**
 * Measures what each role costs as the cell grows, and works out the cost at the size
 * designed for.
 */
package org.monsoonrelay.benchmarks.capacity;
