/**
 * Benchmarks of placement: the cost of a decision, and waiting and packing on a generated
 * day, each beside first fit and random fit.
 */
package org.monsoonrelay.benchmarks.placement;
