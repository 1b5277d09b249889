package org.monsoonrelay.adapters.logging;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;

/**
 * Histograms of the most recent values: a value costs a write into an array. Stateless
 * and thread-safe.
 */
public final class SlidingWindowHistograms {

	/** Values that are kept; a percentile of 99.8 still rests on one of its own. */
	private static final int KEPT = 512;

	private SlidingWindowHistograms() {
	}

	/**
	 * Find or make a histogram.
	 * @param metrics where it is shown
	 * @param name its name
	 * @return the histogram
	 */
	public static Histogram getOrCreate(MetricRegistry metrics, String name) {
		return metrics.histogram(name, () -> new Histogram(new SlidingWindowReservoir(KEPT)));
	}

}
