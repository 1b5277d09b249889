package org.monsoonrelay.logic.routing;

import java.time.Duration;

/**
 * Estimates how long a request waits for a slot, from the time that whole answers took
 * lately and the number of slots that are in use. Before the first answer it expects no
 * wait. Thread-safe.
 */
final class WaitEstimate {

	private static final double WEIGHT = 0.05;

	private double meanNanos;

	synchronized void answered(Duration took) {
		double nanos = Math.max(0, took.toNanos());
		this.meanNanos = (this.meanNanos != 0) ? this.meanNanos + WEIGHT * (nanos - this.meanNanos) : nanos;
	}

	/**
	 * Estimate a wait.
	 * @param ahead number of requests that get a slot first
	 * @param slots number of slots in use
	 * @return the expected wait
	 */
	synchronized Duration wait(int ahead, int slots) {
		return Duration.ofNanos((long) ((ahead + 1) * this.meanNanos / Math.max(1, slots)));
	}

}
