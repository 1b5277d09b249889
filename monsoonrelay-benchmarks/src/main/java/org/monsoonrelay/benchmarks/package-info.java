/**
 * Runs all benchmarks of the project.
 */
package org.monsoonrelay.benchmarks;
