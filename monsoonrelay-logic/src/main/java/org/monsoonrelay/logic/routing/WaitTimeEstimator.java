package org.monsoonrelay.logic.routing;

import java.time.Duration;

/**
 * Estimates how long a request waits for a slot, from the time that whole answers took
 * lately and the number of slots that are in use. Before the first answer it expects no
 * wait. Thread-safe.
 */
final class WaitTimeEstimator {

	private static final double SMOOTHING_FACTOR = 0.05;

	private double meanResponseNanos;

	synchronized void recordResponseTime(Duration took) {
		double nanos = Math.max(0, took.toNanos());
		this.meanResponseNanos = (this.meanResponseNanos != 0)
				? this.meanResponseNanos + SMOOTHING_FACTOR * (nanos - this.meanResponseNanos) : nanos;
	}

	/**
	 * Estimate a wait.
	 * @param ahead number of requests that get a slot first
	 * @param slots number of slots in use
	 * @return the expected wait
	 */
	synchronized Duration estimateWait(int ahead, int slots) {
		return Duration.ofNanos((long) ((ahead + 1) * this.meanResponseNanos / Math.max(1, slots)));
	}

}
