package org.monsoonrelay.benchmarks.routing;

import org.HdrHistogram.Histogram;

/**
 * What a model has measured of one stream. Not thread-safe.
 */
final class ModelResult {

	private static final double NANOS_A_MILLI = 1e6;

	private final Histogram waiting = new Histogram(3);

	private long requests;

	private long refusals;

	private long notRun;

	void arrived() {
		this.requests++;
	}

	void started(long waitedNanos) {
		this.waiting.recordValue(Math.max(0, waitedNanos));
	}

	void refused() {
		this.refusals++;
	}

	void notRun() {
		this.notRun++;
	}

	/**
	 * Waiting time without the way to the backend server.
	 * @param percentile the percentile, 0 to 100
	 * @return the time in milliseconds
	 */
	double waitingMillis(double percentile) {
		return this.waiting.getValueAtPercentile(percentile) / NANOS_A_MILLI;
	}

	/**
	 * Refusals by backend servers for each request.
	 * @return the ratio
	 */
	double refusalsPerRequest() {
		return (double) this.refusals / this.requests;
	}

	/**
	 * Requests that were given up without being run.
	 * @return their share, 0 to 1
	 */
	double notRunShare() {
		return (double) this.notRun / this.requests;
	}

}
