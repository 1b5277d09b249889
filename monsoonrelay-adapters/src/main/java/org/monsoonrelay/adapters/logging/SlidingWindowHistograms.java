package org.monsoonrelay.adapters.logging;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;

/**
 * Creates histograms of the most recent values. Recording a value costs one write into an
 * array. Stateless and thread-safe.
 */
public final class SlidingWindowHistograms {

	/** Number of recent values; enough for a distinct 99.8th percentile. */
	private static final int WINDOW_SIZE = 512;

	private SlidingWindowHistograms() {
	}

	/**
	 * Returns the histogram of a name and creates it if it does not exist.
	 * @param metrics the registry of the histogram
	 * @param name the name of the histogram
	 * @return the histogram
	 */
	public static Histogram getOrCreate(MetricRegistry metrics, String name) {
		return metrics.histogram(name, () -> new Histogram(new SlidingWindowReservoir(WINDOW_SIZE)));
	}

}
