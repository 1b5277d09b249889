package org.monsoonrelay.logic.pool;

/**
 * When requests were sent to a worker and when it responded. Not thread-safe: confined to
 * the control thread.
 */
final class ResponseTimes {

	private long requestSentNanos;

	private boolean awaitingResponse;

	private boolean hasResponded;

	private long lastResponseNanos;

	/**
	 * Records that a request was sent.
	 * @param nowNanos the current monotonic time
	 */
	void requestSent(long nowNanos) {
		if (!this.awaitingResponse) {
			this.awaitingResponse = true;
			this.requestSentNanos = nowNanos;
		}
	}

	/**
	 * Records a response to any request.
	 * @param nowNanos the current monotonic time
	 */
	void responseReceived(long nowNanos) {
		this.awaitingResponse = false;
		this.hasResponded = true;
		this.lastResponseNanos = nowNanos;
	}

	/**
	 * Records that requests sent so far may never be answered, as the worker restarted.
	 */
	void cancelRequests() {
		this.awaitingResponse = false;
	}

	/**
	 * Returns for how long a request has been unanswered without any response.
	 * @param nowNanos the current monotonic time
	 * @return nanoseconds, 0 if no request is unanswered
	 */
	long unansweredNanos(long nowNanos) {
		return this.awaitingResponse ? nowNanos - this.requestSentNanos : 0;
	}

	boolean hasRespondedWithin(long nanos, long nowNanos) {
		return this.hasResponded && nowNanos - this.lastResponseNanos < nanos;
	}

}
