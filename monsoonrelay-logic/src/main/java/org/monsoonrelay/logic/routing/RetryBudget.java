package org.monsoonrelay.logic.routing;

/**
 * Bounds retries to a share of the requests, so that an outage does not multiply load.
 * Invariant: over any time, retries are at most the reserve plus the share of the
 * requests. Requests that went into silent connections are sent again outside of it: they
 * reached no server, and there are at most as many as connections. Thread-safe.
 */
public final class RetryBudget {

	private final double retriesPerRequest;

	private final double capacity;

	private double tokens;

	/**
	 * Create a budget.
	 * @param share retries allowed for each request, between 0 and 1
	 * @param reserve the most retries that can be saved up
	 */
	public RetryBudget(double share, double reserve) {
		this.retriesPerRequest = share;
		this.capacity = reserve;
		this.tokens = reserve;
	}

	/**
	 * A request has come in.
	 */
	public synchronized void recordRequest() {
		this.tokens = Math.min(this.capacity, this.tokens + this.retriesPerRequest);
	}

	/**
	 * Ask for a retry.
	 * @return {@code true} if the budget allows it
	 */
	public synchronized boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
