package org.monsoonrelay.logic.routing;

import java.time.Duration;

/**
 * Estimates how long a request waits for a slot, from a moving average of recent response
 * times and the number of slots in use. The estimate is zero before the first response.
 * Thread-safe.
 */
final class WaitTimeEstimator {

	private static final double SMOOTHING_FACTOR = 0.05;

	private double meanResponseNanos;

	synchronized void recordResponseTime(Duration responseTime) {
		double nanos = Math.max(0, responseTime.toNanos());
		this.meanResponseNanos = (this.meanResponseNanos != 0)
				? this.meanResponseNanos + SMOOTHING_FACTOR * (nanos - this.meanResponseNanos) : nanos;
	}

	/**
	 * Estimate how long a request waits for a slot.
	 * @param ahead number of requests that are dispatched first
	 * @param slots number of slots in use
	 * @return the expected waiting time
	 */
	synchronized Duration estimateWait(int ahead, int slots) {
		return Duration.ofNanos((long) ((ahead + 1) * this.meanResponseNanos / Math.max(1, slots)));
	}

}
